# A steady stream of calls under callers' own ids keeps the links between hosts
# busy. Each message must be sent at once although earlier ones are not
# acknowledged yet; otherwise callers wait half a second for a task of twenty
# milliseconds.
story
world zones=a,b hosts=2 servers=4 slots=8 ms=20
submit w at=a1 times=20
run 1s
submit c at=a1 id=k times=1000 every=1ms
run 3s
slower 300ms
answers
check
----
0 calls took longer than 300 ms
c: 1000 complete
w: 20 complete
every promise kept
