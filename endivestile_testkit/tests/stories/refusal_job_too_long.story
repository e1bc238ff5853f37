# A job of two hundred tasks cannot finish by its deadline on the available
# slots, although each task alone could. It is refused at once as not run rather
# than failed after half of it has run; a smaller job runs.
story
world zones=a hosts=2 servers=1 slots=2 ms=200
submit w1 at=a1
run 1s
submit c1 at=a1 id=k1 tasks=200 deadline=3s
submit c2 at=a2 id=k2 tasks=10 deadline=3s
run 10s
answers
starts
check
----
c1 not run Deadline after 0.0 s
c2 complete
w1 complete
k2 started 10
w1 started 1
every promise kept
