# A caller hangs up and resubmits its job, while one of two workers leaves stops unanswered
# for seconds. The worker's lease is no longer renewed, so the first run expires and the
# second submission runs within a second. Otherwise the caller would wait for the stop, or
# the task would run twice at the same time.
story
world zones=a hosts=1 workers=2 cpu=16000
submit c at=a1 tasks=2 ms=8000 deadline=20s
run 300ms
worker a-w2 late 5s
leave c
submit again at=a1 id=c tasks=1 ms=100 deadline=9s
run 7s
worker a-w2 good
run 12s
answers
check
settled
----
c connection ended
again done 851 ms
c+ done 16001 ms
every promise kept
every call answered
