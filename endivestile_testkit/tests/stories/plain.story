# No faults: a request without an id, a job under the caller's own id and a
# request under a minted id are answered completely, and each task starts once.
story
world zones=a,b hosts=2 servers=2
submit c1 at=a1
submit c2 at=b2 id=k1 tasks=20
mint m1 at=a2
submit c3 at=a2 id=m1 tasks=3
submit c4 at=b1 id=m1 tasks=3
run 5s
answers
starts
check
----
c1 complete
c2 complete
c3 complete
c4 complete
c1 started 1
k1 started 20
m1 started 3
every promise kept
