# A zone has twice the demand that it can serve and sends jobs to another one when the two are
# cut off from each other. Jobs that are there already are run again at home only once no run
# of them can be left; no further ones are sent there. When the cut heals, delayed messages
# arrive. No task may run twice.
story
world zones=a,b cpus=500,90,90 workers=4 with=zone-balance
submit c at=a2 tasks=2 ms=300 times=60 every=30ms deadline=8s
counter jobs_sent_away
cut a b
run 700ms
counter jobs_sent_away
submit d at=a3 tasks=2 ms=300 times=60 every=30ms deadline=8s
counter jobs_sent_away
heal
run 2s
submit e at=a3 tasks=2 ms=300 times=60 every=30ms deadline=8s
run 12s
counts
counter jobs_sent_away
check
settled
----
jobs_sent_away: 1
jobs_sent_away: 1
jobs_sent_away: 1
done: 137
not_run overload: 43
jobs_sent_away: 2
every promise kept
every call answered
