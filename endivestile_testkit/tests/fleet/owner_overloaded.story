# One of a zone's two owners is short of processor time and handles messages seconds late,
# although its workers have free capacity. Jobs assigned by free capacity alone would be late.
story
world zones=a cpus=250,250,90 workers=40
run 2s
cost a1 5ms
run 1s
submit c at=a3 tasks=2 ms=60 deadline=2s times=60 every=20ms
cost a1 0ms
run 3s
counts
later 200ms
owners
check
settled
----
done: 60
later than 200 ms: 7
a {"owner":{"host":"a1","birth":1},"epoch":1} pools=3
a {"owner":{"host":"a2","birth":2},"epoch":1} pools=3
a {"owner":{"host":"a3","birth":3},"epoch":2} pools=1
every promise kept
every call answered
