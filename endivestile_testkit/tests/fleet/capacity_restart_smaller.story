# Guards against a restarted worker that is used with the capacity of its former incarnation.
story
world zones=a hosts=1 workers=3 cpu=64000 with=capacity-changes
worker a-w2 cpu 32000
run 1s
submit c at=a1 tasks=4 cpu=14000 ms=300 told=3000 deadline=30s times=30 every=1ms
worker a-w1 crash 1s 32000
run 6s
counts
check
settled
----
done: 30
every promise kept
every call answered
