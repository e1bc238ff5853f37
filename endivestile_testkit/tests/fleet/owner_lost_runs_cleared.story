# The owner of two workers is killed while a task runs on each, and restarts at once. The
# other host sees the new registration and takes the workers over before the old leases
# expire. One worker carries out stops late: the new owner must not restart the job before
# both workers are clear, or a task would run twice at the same time.
story
world zones=a hosts=2 workers=2 cpu=16000
submit c at=a2 tasks=2 ms=3000 deadline=9s
run 200ms
worker a-w2 late 900ms
kill a1
start a1
run 1500ms
worker a-w2 good
run 8s
answers
owners
check
settled
----
c done 4875 ms
a {"owner":{"host":"a2","birth":2},"epoch":2} pools=2
every promise kept
every call answered
