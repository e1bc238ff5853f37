# A stopping host is paused beyond its linger time, and a caller's request
# reaches its socket meanwhile. When it resumes its timer is due first; ending
# at once would break that caller's connection.
story
world zones=a,b,c hosts=1 servers=1 slots=1 shards=1 ms=200 seed=0
shutdown a1
submit c0 at=b1 id=k0 tasks=1 deadline=300ms
pause a1
run 3s
submit c1 at=a1 id=k0 tasks=1 deadline=300ms
resume all
run 60s
answers
check
settled
----
c0 complete
c1 complete
every promise kept
every call answered
