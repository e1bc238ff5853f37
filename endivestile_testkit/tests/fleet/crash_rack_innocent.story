# Guards against tasks that are isolated or given up because all their workers crashed together.
story
world zones=a hosts=1 workers=8 with=crash-limit
submit c at=a1 tasks=8 ms=800 told=3000 deadline=30s
run 200ms
worker a-w1 crash 2s
worker a-w2 crash 2s
worker a-w3 crash 2s
worker a-w4 crash 2s
run 8s
answers
runs
check
settled
----
c done 1550 ms
runs: 16
every promise kept
every call answered
