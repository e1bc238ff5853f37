# Every backend server refuses connections. Callers are refused at once as not
# run, with the time to retry after, and no task starts.
story
world zones=a,b hosts=2 servers=1
server a-s1 refuses
server b-s1 refuses
submit c1 at=a1 id=k1
submit c2 at=a1
submit c3 at=b2 id=k2 tasks=5
run 10s
answers
starts
check
----
c1 not run NoBackend after 0.6 s
c2 not run NoBackend after 0.6 s
c3 failed NotPlaced { task: 0, cause: NoBackend }
every promise kept
