# Links are slow and shards move to hosts that have just joined while calls
# under callers' own ids arrive, so a shard changes hands with some ids half
# recorded. Nothing has failed, and no caller may be told that its job failed.
story
world zones=a,b hosts=2 servers=4 slots=8 ms=20
submit w at=a1 times=20
run 1s
jitter 2ms
submit c at=a1 id=k times=300 every=1ms
run 3s
jitter 30ms
submit d at=b1 id=l times=600 every=5ms
run 20s
answers
check
----
c: 300 complete
d: 600 complete
w: 20 complete
every promise kept
