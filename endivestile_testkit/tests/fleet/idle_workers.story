# The workers of a zone are idle, so their owner renews their leases rarely. Without that,
# renewals for idle workers are most of the work of a large fleet's owners.
story
world zones=a hosts=1 workers=20
run 5s
holds
run 10s
holds
submit c at=a1 tasks=20 ms=100
run 500ms
answers
holds
check
----
holds: 360
holds: 420
c done 100 ms
holds: 50
every promise kept

# Idle workers become unresponsive between two renewals. The owner has to detect that
# before a job arrives 0.7 s later: its start would stay unanswered, and the job would wait
# for the leases to expire.
story
world zones=a hosts=1 workers=4
submit warm at=a1 tasks=4 ms=100 times=5 every=200ms
run 5s
worker a-w1 dark
worker a-w2 dark
run 700ms
submit c at=a1 tasks=4 ms=100 deadline=2s
run 2s
answers
starts
check
settled
----
warm-0 done 100 ms
warm-1 done 100 ms
warm-2 done 100 ms
warm-3 done 100 ms
warm-4 done 100 ms
c done 100 ms
a-w1 10
a-w2 10
a-w3 2
a-w4 2
every promise kept
every call answered
