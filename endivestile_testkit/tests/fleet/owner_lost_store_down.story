# The owner is killed while it runs a job, and the store is down, so that no other host can take
# its workers over. The front gives the job up after its wait for an owner; tasks of it have
# run, so the answer must not say that it has not run.
story
world zones=a hosts=2 workers=2 cpu=16000
submit c at=a2 tasks=1 ms=3000 deadline=9s again=0
run 200ms
store down
kill a1
run 5s
answers
check
settled
----
c lost no_placer 2595 ms
every promise kept
every call answered
