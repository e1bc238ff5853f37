# Backend servers were slow for a while, and requests with a short deadline are
# refused since none would finish in time. When the servers are fast again the
# refusals must end by themselves; otherwise callers would be refused for ever.
story
world zones=a hosts=2 servers=2 slots=4 ms=3000
submit w at=a1 times=40 every=200ms
run 10s
submit c at=a1 times=20 every=100ms deadline=1s
run 2s
answers
server a-s1 takes 50ms
server a-s2 takes 50ms
submit d at=a1 times=100 every=100ms deadline=1s
submit e at=a1 times=20 every=100ms deadline=1s
run 5s
answers
check
----
c: 2 failed Deadline
c: 18 not run Deadline after 0.0 s
w: 40 complete
c: 2 failed Deadline
c: 18 not run Deadline after 0.0 s
d: 64 complete
d: 36 not run Deadline after 0.0 s
e: 20 complete
w: 40 complete
every promise kept
