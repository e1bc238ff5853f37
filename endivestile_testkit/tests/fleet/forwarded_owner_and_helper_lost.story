# The owner of a full zone is killed, and 250 ms later the owner that runs tasks forwarded by it
# freezes, so that only the leases of its workers end those runs. The successor must not start the
# tasks before that, or they would run twice at the same time.
story
world zones=a,b hosts=2 workers=2 cpu=16000
submit filler at=a1 tasks=2 ms=3000 deadline=15s again=0
run 50ms
submit c at=a2 tasks=2 ms=3000 deadline=15s
run 950ms
kill a1
run 250ms
pause b2
run 8s
resume all
run 8s
answers
check
settled
----
filler connection ended
c done 5095 ms
every promise kept
every call answered
