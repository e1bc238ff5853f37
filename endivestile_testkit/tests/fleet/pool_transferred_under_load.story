# Pools are transferred between owners while jobs run. A pool is transferred only once no
# run is left on its workers. Transferred at once, its runs would be stopped and restarted,
# and their callers would wait twice as long.
story
world zones=a cpus=250,250,250 workers=48 register=3s
owners
run 1500ms
submit c at=a1 tasks=4 ms=100 deadline=2s times=400 every=15ms
run 2s
counts
runs
owners
check
settled
----
a {"owner":{"host":"a1","birth":1},"epoch":1} pools=6
a {"owner":{"host":"a3","birth":3},"epoch":1} pools=1
a {"owner":{"host":"a3","birth":3},"epoch":2} pools=1
done: 400
runs: 1600
a {"owner":{"host":"a1","birth":1},"epoch":1} pools=4
a {"owner":{"host":"a3","birth":3},"epoch":1} pools=1
a {"owner":{"host":"a3","birth":3},"epoch":2} pools=3
every promise kept
every call answered
