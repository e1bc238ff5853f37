# A backend server refuses connections. No task was sent, so even a payment may
# be sent to another server, and the caller notices nothing.
story
world zones=a hosts=1 servers=2
server a-s1 refuses
submit c1 at=a1 id=k1
submit c2 at=a1 id=k2
submit c3 at=a1 id=k3
submit c4 at=a1 id=k4
run 5s
answers
starts
check
----
c1 complete
c2 complete
c3 complete
c4 complete
k1 started 1
k2 started 1
k3 started 1
k4 started 1
every promise kept
