# As in cut_zone_owner_stops, but the links of the zone lose most frames in the first second
# after the owner is told to stop. If it exited before its successor has the grant, the zone
# would refuse its callers until the cut heals.
story
world zones=a,b hosts=3 workers=3 seed=5
cut a b
cut a store
run 2s
lose 85
stop a1
run 1200ms
lose 0
run 2s
submit c1 at=a2 tasks=4 ms=200
submit c2 at=a3 tasks=2 ms=200
run 1500ms
answers
hosts
heal
run 3s
owners
check
settled
----
c1 done 200 ms
c2 done 200 ms
a1 ended
a2 running
a3 running
b1 running
b2 running
b3 running
a {"owner":{"host":"a3","birth":3},"epoch":2} pools=3
b {"owner":{"host":"b2","birth":5},"epoch":1} pools=2
every promise kept
every call answered
