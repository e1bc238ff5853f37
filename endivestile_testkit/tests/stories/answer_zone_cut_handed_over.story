# A busy zone a forwards requests to zone b when the network between them is
# cut. An idempotent request is retried in zone a as soon as zone b is
# unreachable, so its caller does not wait until the deadline.
story
world zones=a,b hosts=2 servers=1 slots=2 ms=400
submit w at=a1 times=4
run 2s
submit c at=a1 times=8 deadline=6s
run 50ms
cut a b
run 4s
answers
run 10s
check
----
c: 8 complete
w: 4 complete
every promise kept
