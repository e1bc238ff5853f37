# A team may have eighty tasks in the whole deployment, and all its calls arrive
# at one host, whose share of the limit is a quarter. The host must obtain the
# rest from the other hosts' shares rather than refuse calls while the team is
# below its limit.
story
world zones=a,b hosts=2 servers=4 slots=8 ms=400 limit=80
submit w at=a1 times=20 every=20ms
run 2s
submit c at=a1 times=70
submit d at=a1 id=job tasks=8
run 5s
answers
submit e at=a1 times=200
run 5s
answers
check
----
d complete
c: 70 complete
w: 20 complete
d complete
c: 70 complete
e: 80 complete
e: 120 not run Limit after 0.0 s
w: 20 complete
every promise kept
