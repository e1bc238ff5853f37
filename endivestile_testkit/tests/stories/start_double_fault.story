# The store goes down while the home is paused, and a zone is cut off before
# either is repaired. The repairs come in another order than the faults, and
# callers resubmit throughout.
story
world zones=a,b,c hosts=2 servers=2 ms=300
submit c1 at=a1 id=k1 tasks=4
submit c2 at=b1 id=k2 tasks=4
run 100ms
store down
pause home k1
submit c3 at=c1 id=k1 tasks=4
run 1s
cut c a
cut c b
submit c4 at=c2 id=k3 tasks=2
submit c5 at=a2 id=k3 tasks=2
run 5s
store up
run 2s
resume all
submit c6 at=b2 id=k1 tasks=4
submit c7 at=c1 id=k2 tasks=4
run 5s
heal
run 3s
submit c8 at=c1 id=k1 tasks=4
submit c9 at=c1 id=k3 tasks=2
submit d1 at=a1 id=k4
submit d2 at=c2 id=k5
run 60s
answers
check
settled
----
c1 unknown HomeAway after 2.0 s
c2 complete
c3 unknown HomeAway after 1.9 s
c4 unknown HomeAway after 1.5 s
c5 complete
c6 unknown HomeAway after 3.9 s
c7 unknown HomeAway after 3.9 s
c8 complete
c9 complete
d1 complete
d2 complete
every promise kept
every call answered
