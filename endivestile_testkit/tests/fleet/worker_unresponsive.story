# A worker becomes unresponsive just as a task is sent there: neither the start nor a read
# of its run list is answered. If its lease were still renewed, in case the renewals arrive,
# the task would wait there until its deadline.
story
world zones=a hosts=1 workers=2 cpu=16000
worker a-w1 dark
submit c1 at=a1 tasks=2 ms=100 deadline=5s
run 6s
answers
check
settled
----
c1 done 1075 ms
every promise kept
every call answered
