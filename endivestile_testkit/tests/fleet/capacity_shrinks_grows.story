# Guards against starts beyond a capacity that shrinks under full load, and against capacity
# that is not used when it grows again.
story
world zones=a hosts=1 workers=2 cpu=64000 with=capacity-changes
submit c at=a1 tasks=4 cpu=14000 ms=400 told=3000 deadline=30s times=10 every=1ms
run 100ms
worker a-w1 cpu 30000
run 2s
check
worker a-w1 cpu 64000
worker a-w1 cpu 15000
worker a-w1 cpu 64000
run 3s
counts
check
settled
----
every promise kept
done: 10
every promise kept
every call answered
