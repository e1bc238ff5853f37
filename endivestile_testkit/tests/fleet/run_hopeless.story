# A worker becomes six times slower. Progress shows that its run cannot end before the
# caller's deadline, so it is stopped and the caller is told long before that; the next job
# gets its capacity.
story
world zones=a hosts=1 workers=1 cpu=32000 with=backfill
submit doomed at=a1 cpu=30000 ms=600 deadline=1500ms
run 100ms
worker a-w1 slow 6
run 700ms
worker a-w1 good
submit next at=a1 cpu=30000 ms=200
run 4s
answers
check
settled
----
doomed lost deadline 960 ms
next done 425 ms
doomed+ done 600 ms
every promise kept
every call answered
