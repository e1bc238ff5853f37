# A zone is full, and tasks of one step of which one worker may run only one are forwarded one by one.
# The owner that gets them counts each for itself, so that several would share a worker.
story
world zones=a,b hosts=2 workers=3 cpu=32000
submit filler at=a1 tasks=6 ms=2000 deadline=9s
run 50ms
submit c at=a2 tasks=5 ms=300 spread=1 deadline=5s
submit d at=a2 tasks=4 ms=300 spread=2 deadline=5s
run 6s
answers
counter tasks_forwarded
check
settled
----
filler done 2000 ms
c done 1518 ms
d done 607 ms
tasks_forwarded: 9
every promise kept
every call answered
