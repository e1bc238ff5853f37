# Ten thousand callers cancel at the same time. The few running tasks are
# stopped, the queued ones must never start, and the next caller must not wait
# behind the cancelled ones.
story
world zones=a hosts=2 servers=2 slots=4 ms=1000 limit=20000
submit c at=a1 id=w times=10000 deadline=3000s
run 300ms
cancel x at=a2 id=w times=10000
run 2s
submit d at=a1 id=next times=8
run 3s
answers
starts
check
settled
----
c: 10000 cancelled Cancelled
d: 8 complete
x: 10000 cancelled Cancelled
next started 8
w started 8
every promise kept
every call answered
