# A zone is cut off from the other zones and from the store, and its owner is stopped. The
# owner cannot write a successor into the ownership record. Without a direct transfer to its
# successor, the zone would refuse its callers until the cut heals.
story
world zones=a,b hosts=3 workers=3
owners
cut a b
cut a store
run 2s
stop a1
run 800ms
submit c1 at=a2 tasks=4 ms=200
submit c2 at=a3 tasks=2 ms=200
run 800ms
stop a2
run 800ms
submit c3 at=a3 tasks=4 ms=200
run 1s
answers
owners
heal
run 3s
owners
submit c4 at=a3 tasks=4 ms=200
run 2s
answers
check
settled
----
a {"owner":{"host":"a1","birth":1},"epoch":1} pools=3
b {"owner":{"host":"b2","birth":5},"epoch":1} pools=2
c1 done 200 ms
c2 done 200 ms
c3 done 200 ms
a {"owner":{"host":"a1","birth":1},"epoch":1} pools=3
b {"owner":{"host":"b2","birth":5},"epoch":1} pools=2
a {"owner":{"host":"a3","birth":3},"epoch":2} pools=3
b {"owner":{"host":"b2","birth":5},"epoch":1} pools=2
c1 done 200 ms
c2 done 200 ms
c3 done 200 ms
c4 done 210 ms
every promise kept
every call answered
