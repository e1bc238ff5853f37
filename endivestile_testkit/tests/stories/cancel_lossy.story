# Cancellations and resubmissions of the same ids cross on links that lose a
# third of the frames, while shards change hands. No caller gets a partial
# result and no task starts twice. A job cancelled before it started is recorded
# only at its home; once its shard has another home, a resubmission may run it.
story
world zones=a,b hosts=2 servers=2 ms=150
lose 33
submit c at=a1 id=w times=40 tasks=2
run 200ms
cancel x at=b1 id=w times=40
submit d at=b2 id=w times=40 tasks=2
run 20s
heal
submit e at=a2 id=w times=40 tasks=2
run 20s
answers
check
settled
----
c: 40 cancelled Cancelled
d: 40 cancelled Cancelled
e: 35 cancelled Cancelled
e: 5 complete
x: 35 cancelled Cancelled
x: 5 unknown HomeAway after 2.0 s
every promise kept
every call answered
