# A front is cut off from the owner that runs its job, and a worker leaves stops unanswered. The
# front sends the job elsewhere once both leases have ended: the time for the stop must not be
# added to them.
story
world zones=a,b hosts=2 workers=2 cpu=16000
submit c at=a2 tasks=1 ms=4000 deadline=15s again=0
run 950ms
worker a-w1 late 3s
worker a-w2 late 3s
cut a1 a2
run 12s
answers
check
settled
----
c done 6121 ms
every promise kept
every call answered
