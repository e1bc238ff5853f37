# Guards against starts beyond the capacity at a new owner: it has only the last registration,
# and runs of the former owner whose needs it does not know.
story
world zones=a,b hosts=2 workers=2 cpu=64000 with=capacity-changes
submit c at=a2 tasks=4 cpu=14000 ms=700 told=3000 deadline=30s times=8 every=1ms
worker a-w1 cpu 30000
run 700ms
kill a1
run 500ms
store down
worker a-w1 cpu 64000
run 4s
store up
run 4s
counts
check
settled
----
done: 8
every promise kept
every call answered
