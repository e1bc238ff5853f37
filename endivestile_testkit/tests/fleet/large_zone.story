# A zone has more workers than one small host can drive: it has several owners, the hosts
# with the most processor time. A single owner would be overloaded by starts and lease
# renewals: starts would go unanswered, leases would expire and callers get no answer.
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
