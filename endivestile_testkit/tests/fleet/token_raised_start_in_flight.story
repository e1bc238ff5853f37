# A host owns the workers of its zone by a direct transfer and enters that into the ownership record
# once it reaches the store, which raises its fencing token. A start that it sent under the former
# token is overtaken by a renewal and rejected. It must not take that for another owner, and leave the
# workers without one for two seconds.
story
world zones=a,b hosts=2 workers=3 seed=8
cut a b
cut a store
run 2s
stop a1
run 2s
heal
jitter 30ms
submit c at=a2 tasks=1 ms=2 told=2 times=600 every=3ms deadline=2s
jitter 0ms
run 4s
counter deposed
owners
check
settled
----
deposed: 0
a {"owner":{"host":"a2","birth":2},"epoch":2} pools=3
b {"owner":{"host":"b2","birth":4},"epoch":1} pools=2
every promise kept
every call answered
