# The workers of a large zone register over four seconds. The host that sees the first of
# them claims every pool. If it kept them, its processor time would be the limit while
# equally strong hosts own nothing.
story
world zones=a cpus=90,500,90,300,500,90,300 workers=117 register=4s
owners
run 9s
owners
submit c at=a1 tasks=8 ms=60 deadline=2s times=40 every=4ms
run 1s
counts
check
----
a {"owner":{"host":"a5","birth":5},"epoch":1} pools=6
a {"owner":{"host":"a7","birth":7},"epoch":2} pools=2
a {"owner":{"host":"a2","birth":2},"epoch":2} pools=2
a {"owner":{"host":"a4","birth":4},"epoch":2} pools=2
a {"owner":{"host":"a5","birth":5},"epoch":1} pools=2
a {"owner":{"host":"a7","birth":7},"epoch":2} pools=2
done: 40
every promise kept
