# A third of the frames between hosts is lost and the rest arrives late and out
# of order. Callers get complete answers, only later.
story
world zones=a,b hosts=2 servers=2
lose 30
jitter 40ms
submit c1 at=a1 id=k1 tasks=10
submit c2 at=b1 id=k2 tasks=10
submit c3 at=a2 id=k1 tasks=10
submit c4 at=b2 id=k2 tasks=10
run 20s
heal
run 5s
answers
starts
check
----
c1 complete
c2 complete
c3 complete
c4 complete
k1 started 10
k2 started 10
every promise kept
