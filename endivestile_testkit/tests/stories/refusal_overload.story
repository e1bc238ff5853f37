# Five hundred requests arrive at once, more than the slots can run within the
# deadline. The rest is refused at once as not run, and none of it starts.
story
world zones=a hosts=2 servers=1 slots=2 ms=200
submit c at=a1 times=500 deadline=2s
run 100ms
submit d at=a2 times=20 deadline=2s
run 10s
answers
check
----
c: 19 complete
c: 481 not run Deadline after 0.0 s
d: 20 not run Deadline after 0.0 s
every promise kept
