# A host is paused for half a second just before its drain ends. A call that the
# load balancer sent meanwhile is still unread when the host resumes, and must
# be answered.
story
world zones=a,b hosts=1 servers=1 slots=1 shards=1 ms=200 seed=0
submit c0 at=a1 id=k0 tasks=1 deadline=300ms
shutdown b1
run 1s
check
pause b1
run 100ms
check
submit c0 at=b1 id=k0 tasks=1 deadline=300ms
run 400ms
check
resume all
heal
store up
store slow 2ms
run 60s
check
settled
----
every promise kept
every promise kept
every promise kept
every promise kept
every call answered
