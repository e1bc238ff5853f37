# A caller underestimates its job by a factor of six, so each task looks slow on every
# worker. If that counted against the workers, tasks would be stopped and restarted, and
# the next caller's job would wait or be refused although the zone is idle.
story
world zones=a hosts=1 workers=4 cpu=16000
submit usual at=a1 tasks=2 ms=100 times=20 every=250ms
submit long at=a1 tasks=3 ms=900 told=150 deadline=6s
run 1200ms
submit next at=a1 tasks=4 ms=100
run 4s
answers
starts
check
settled
----
usual-0 done 100 ms
usual-1 done 100 ms
usual-2 done 100 ms
usual-3 done 100 ms
usual-4 done 100 ms
usual-5 done 100 ms
usual-6 done 100 ms
usual-7 done 100 ms
usual-8 done 100 ms
usual-9 done 100 ms
usual-10 done 100 ms
usual-11 done 100 ms
usual-12 done 100 ms
usual-13 done 100 ms
usual-14 done 100 ms
usual-15 done 100 ms
usual-16 done 100 ms
usual-17 done 100 ms
usual-18 done 100 ms
usual-19 done 100 ms
long done 900 ms
next done 100 ms
a-w1 22
a-w2 22
a-w3 2
a-w4 1
every promise kept
every call answered
