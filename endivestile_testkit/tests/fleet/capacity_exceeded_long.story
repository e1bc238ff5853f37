# Guards against runs that exceed a shrunk capacity for their whole length although they had
# barely begun.
story
world zones=a hosts=1 workers=2 cpu=64000 with=capacity-changes
submit c at=a1 tasks=4 cpu=14000 ms=60000 deadline=200s
run 300ms
worker a-w1 cpu 30000
worker a-w2 cpu 30000
run 1s
runs
run 2s
runs
check
----
runs: 4
runs: 6
every promise kept
