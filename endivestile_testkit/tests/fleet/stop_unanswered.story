# A caller hangs up and sends its job again, while one of two workers leaves
# stops unanswered for seconds. The worker's lease is not renewed any more, so
# that the first run lapses and the second sending is run within a second;
# otherwise the caller would wait until the stop is carried out, or the task
# would run twice at a time.
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
