# A zone has more workers than one small host can drive: it has several owners,
# the hosts with the most processor time. If one host owned all, it would be
# busy with orders and lease renewals alone; orders would go unanswered, leases
# lapse, and callers get nothing.
story
world zones=a cpus=90,500,90,300,500,90,300 workers=117
owners
submit c at=a1 tasks=8 ms=60 deadline=2s times=40 every=4ms
run 1s
counts
check
----
a {"owner":{"host":"a2","birth":2},"epoch":1} pools=2
a {"owner":{"host":"a4","birth":4},"epoch":1} pools=2
a {"owner":{"host":"a5","birth":5},"epoch":1} pools=2
a {"owner":{"host":"a7","birth":7},"epoch":1} pools=2
done: 40
every promise kept
