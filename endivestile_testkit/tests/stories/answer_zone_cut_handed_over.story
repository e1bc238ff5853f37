# Zone a is busy and hands requests over to zone b when the two are cut apart.
# A request that may be repeated is asked again in its own zone as soon as the
# other falls silent, and its caller does not wait for the deadline.
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
