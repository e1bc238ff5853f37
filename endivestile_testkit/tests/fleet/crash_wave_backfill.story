# As in crash_wave, but the whole queue is searched for tasks that fit. That search must not start
# a suspected task beside others, nor one that crashed too many workers.
story
world zones=a hosts=1 workers=12 with=crash-limit,backfill
submit bad at=a1 crash=50ms ms=300 told=3000 deadline=30s times=4 every=20ms
submit good at=a1 tasks=3 ms=300 told=3000 deadline=30s times=4 every=20ms
run 25s
counts
answers
runs
check
settled
----
done: 4
failed crashes: 4
bad-0 failed crashes 3512 ms
bad-1 failed crashes 4492 ms
bad-2 failed crashes 4972 ms
bad-3 failed crashes 5952 ms
good-0 done 300 ms
good-1 done 300 ms
good-2 done 300 ms
good-3 done 300 ms
runs: 24
every promise kept
every call answered
