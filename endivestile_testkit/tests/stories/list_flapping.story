# The platform's list flaps: within seconds it reports a healthy host and a
# server as leaving, live and leaving again, and once reports a running host as
# gone. Calls continue meanwhile, and no task starts twice.
story
world zones=a,b hosts=2 servers=2 slots=2 ms=200
submit c1 at=a1 id=k1 tasks=8
list a1 leaving
list a-s1 leaving
run 300ms
list a1 live
list a-s1 live
submit c2 at=a1 id=k2 tasks=8
run 300ms
list a1 leaving
list b1 gone
submit c3 at=b2 id=k1 tasks=8
submit c4 at=b1 id=k3 tasks=4
run 2s
list a1 live
list b1 live
submit c5 at=a1 id=k4 tasks=4
submit c6 at=b1 id=k3 tasks=4
run 20s
answers
check
settled
----
c1 complete
c2 complete
c3 complete
c4 complete
c5 complete
c6 complete
every promise kept
every call answered
