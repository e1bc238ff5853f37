# A host is told to stop and is paused while it drains. Calls that the balancer
# sent it meanwhile wait unread when it goes on; it must read and answer them
# before it ends, or their callers see a cut-off connection.
story
world zones=a,b,c hosts=1 servers=1 slots=1 shards=1 ms=200 seed=0
shutdown a1
submit c0 at=a2 id=k0 tasks=1 deadline=300ms
pause a1
run 3s
check
submit c0 at=a1 id=k0 tasks=1 deadline=300ms
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
every call answered
