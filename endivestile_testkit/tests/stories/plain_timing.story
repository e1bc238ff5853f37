# No faults; refusals of every kind are answered at once.
story
world zones=a hosts=2 servers=1 slots=1 ms=1000
submit c1 at=a1
submit c2 at=a1
submit c3 at=a1 deadline=500ms
submit c4 at=a2 id=k4 deadline=500ms
run 5s
answers
check
----
c1 complete
c2 complete
c3 not run Deadline after 0.0 s
c4 not run Deadline after 0.5 s
every promise kept
