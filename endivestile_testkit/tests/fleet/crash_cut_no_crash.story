# Guards against a network cut that looks like a crash.
story
world zones=a hosts=1 workers=4 with=crash-limit
submit c at=a1 tasks=6 ms=900 told=3000 deadline=30s
run 200ms
cut a1 a-w1
cut a1 a-w2
run 1s
cut a1 a-w3
run 2s
heal
run 8s
answers
runs
check
settled
----
c done 4290 ms
runs: 10
every promise kept
every call answered
