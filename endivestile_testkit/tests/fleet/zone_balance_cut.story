# A zone has twice the demand that it can serve and sends jobs to another one when the two are
# cut off from each other. Jobs that are there already are run again at home only once no run
# of them can be left; no further ones are sent there. When the cut heals, delayed messages
# arrive. No task may run twice. Without forwarding, all that leaves the zone are whole jobs.
story
world zones=a,b cpus=500,90,90 workers=30 with=zone-balance without=forwarding
submit w at=b2 tasks=1 ms=300 times=20 every=10ms
run 2s
submit c at=a2 tasks=8 ms=300 times=80 every=15ms deadline=8s
counter jobs_sent_away
cut a b
run 700ms
counter jobs_sent_away
submit d at=a3 tasks=8 ms=300 times=40 every=30ms deadline=8s
counter jobs_sent_away
heal
run 2s
submit e at=a3 tasks=8 ms=300 times=80 every=15ms deadline=8s
run 12s
counts
counter jobs_sent_away
check
settled
----
jobs_sent_away: 10
jobs_sent_away: 10
jobs_sent_away: 10
done: 158
lost overload: 3
not_run overload: 62
jobs_sent_away: 23
every promise kept
every call answered
