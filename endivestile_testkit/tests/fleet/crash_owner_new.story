# Guards against a new owner that starts a crashing task without the evidence of the others.
story
world zones=a hosts=3 workers=40 register=0ms seed=0 with=crash-limit
submit c0 at=a1 tasks=1 steps=1 ms=20 deadline=400ms times=1 every=10ms
kill a3
run 500ms
start a3
submit c2 at=a2 tasks=1 steps=1 ms=20 deadline=5s times=1 every=10ms crash=1ms
run 3s
check
kill a2
run 500ms
start a2
run 12s
check
settled
----
every promise kept
every promise kept
every call answered
