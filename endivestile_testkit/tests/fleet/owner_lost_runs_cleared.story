# The owner of two workers is killed while a task runs at each, and starts again
# at once; the other host learns so from its registration and takes the workers
# within the leases of the former life. One worker carries its stops out late.
# The new owner begins the job again only when nothing of before runs at either:
# begun at the one while the other goes on, a task would run twice at a time.
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
