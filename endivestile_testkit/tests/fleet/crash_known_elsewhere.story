# Guards against an owner that starts a crashing task afresh after it took over, or when the
# caller submits the job again.
story
world zones=a,b hosts=2 workers=6 with=crash-limit
submit bad at=a2 id=k crash=50ms ms=300 told=3000 deadline=30s
run 3s
kill a1
run 25s
submit again at=b1 id=k ms=300 told=3000 deadline=30s
run 1s
answers
runs
check
settled
----
bad failed crashes 3780 ms
again failed crashes 0 ms
runs: 3
every promise kept
every call answered
