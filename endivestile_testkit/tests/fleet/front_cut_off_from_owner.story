# A front is cut off from the owner that runs its job, and both reach everything else. The front
# sends the job to an owner of another zone once the leases have expired. If the first owner did
# not stop what it runs for a host that its frames no longer reach, a task would run twice at the
# same time.
story
world zones=a,b hosts=2 workers=2 cpu=16000
submit c at=a2 tasks=1 ms=4000 deadline=15s again=0
run 200ms
cut a1 a2
run 12s
answers
check
settled
----
c done 5401 ms
every promise kept
every call answered
