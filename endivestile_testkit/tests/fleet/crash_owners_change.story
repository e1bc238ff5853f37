# Guards against starts on and on by owners of which none has seen all workers that were lost.
story
world zones=a,b,c hosts=2 workers=3 register=0ms seed=466 with=crash-limit
run 100ms
check
worker a-w1 good
submit c2 at=a2 tasks=1 steps=1 ms=20 deadline=2s times=6 every=10ms crash=1ms
submit c3 at=b1 tasks=1 steps=1 ms=20 deadline=400ms times=1 every=10ms
stop a1
run 12s
check
settled
----
every promise kept
every promise kept
every call answered
