# A job is resubmitted twice within the time that the stop of its first run takes. The second
# resubmission must wait for that run too, although the job that it replaces has none: a task
# would run twice at the same time.
story
world zones=a hosts=2 workers=2 cpu=16000
submit c1 id=x at=a1 tasks=1 ms=3000 deadline=9s again=0
run 200ms
worker a-w1 late 150ms
worker a-w2 late 150ms
submit c2 id=x at=a1 tasks=1 ms=300 deadline=9s again=0
run 10ms
worker a-w1 good
worker a-w2 good
submit c3 id=x at=a1 tasks=1 ms=300 deadline=9s again=0
run 3s
answers
check
settled
----
c1 lost cancelled 270 ms
c2 lost cancelled 10 ms
c3 done 361 ms
every promise kept
every call answered
