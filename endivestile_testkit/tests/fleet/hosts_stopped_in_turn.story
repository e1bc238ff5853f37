# The hosts of a large zone are stopped one after the other. Each transfers its pools to
# the host with the fewest for its processor time. If one host received all of them, lease
# renewals alone would overload it, and a third of the jobs would be late from then on.
story
world zones=a cpus=500,500,300,300,300,90,90 workers=117
stop a1
run 1s
start a1
run 1s
stop a2
run 1s
start a2
run 1s
stop a3
run 1s
start a3
run 1s
owners
check
----
a {"owner":{"host":"a1","birth":8},"epoch":2} pools=2
a {"owner":{"host":"a2","birth":9},"epoch":2} pools=2
a {"owner":{"host":"a4","birth":4},"epoch":1} pools=2
a {"owner":{"host":"a5","birth":5},"epoch":2} pools=2
every promise kept
