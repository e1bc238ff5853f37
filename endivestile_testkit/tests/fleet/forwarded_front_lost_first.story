# The host that took a job is killed, and with it the caller's connection. The owner is killed before
# it has noticed, and the workers that run tasks forwarded by it leave stops unanswered. The caller
# submits its job again 1.3 s after the first loss: the leases of all three must not add up.
story
world zones=a,b hosts=3 workers=2 cpu=16000
submit filler at=a1 tasks=2 ms=6000 deadline=15s again=0
run 50ms
submit c at=a2 tasks=2 ms=6000 deadline=15s
run 1s
kill a2
run 340ms
worker b-w1 late 3s
worker b-w2 late 3s
kill a1
run 12s
answers
check
settled
----
filler connection ended
c connection ended
c+ done 6000 ms
every promise kept
every call answered
