# A host forwards a task to another host just as the two are cut off from each other. It
# takes the task back and runs it at home; when the cut heals, the delayed message arrives.
# The task must not run a second time.
story
world zones=a,b hosts=1 workers=1 seed=0
submit c0 at=b1 tasks=3 ms=20 times=6 every=10ms
cut b1 a1
lose 24
run 40ms
submit c8 at=b1 tasks=3 steps=1 ms=900 deadline=5s times=6 every=10ms
run 2100ms
check
heal
lose 0
run 12s
check
settled
----
every promise kept
every promise kept
every call answered
