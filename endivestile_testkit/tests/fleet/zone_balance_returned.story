# The owner of a zone returns every job because it cannot end it in time. With the balance
# between zones, a job is sent once to the other zone; when that returns it too, its caller
# gets the answer. A job that went back and forth would keep its caller waiting for nothing.
story
world zones=a,b cpus=500,90 workers=3 with=zone-balance
submit w at=b2 tasks=1 ms=100 times=2 every=10ms
run 2s
full a1
submit c at=a2 tasks=1 ms=100 times=8 every=100ms
run 1s
counts
counter jobs_sent
counter jobs_sent_away
full b1
submit d at=a2 tasks=1 ms=100 times=8 every=100ms
run 1s
counts
counter jobs_sent
counter jobs_sent_away
later 150ms
check
settled
----
done: 10
jobs_sent: 18
jobs_sent_away: 8
done: 10
not_run no_room: 8
jobs_sent: 34
jobs_sent_away: 16
later than 150 ms: 0
every promise kept
every call answered

# With the mechanism off, a returned job is answered at once.
story
world zones=a,b cpus=500,90 workers=3
full a1
submit c at=a2 tasks=1 ms=100 times=8 every=100ms
run 1s
counts
counter jobs_sent
counter jobs_sent_away
settled
----
not_run no_room: 8
jobs_sent: 8
jobs_sent_away: 0
every call answered
