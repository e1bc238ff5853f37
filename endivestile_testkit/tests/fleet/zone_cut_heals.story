# A zone is cut off from the other zones and the store, and its owner goes on serving its
# callers. When the cut heals, its workers are reachable about 700 ms before its hosts. If a
# host of another zone took the workers over at that moment, all runs there would be stopped
# and restarted, and the zone's callers would wait twice as long.
story
world zones=a,b,c hosts=2 workers=3
cut a b
cut a c
cut a store
run 5s
submit c1 at=a1 tasks=4 ms=900
heal
cut a1 b
cut a2 b
cut a1 c
cut a2 c
cut a1 store
cut a2 store
run 700ms
heal
run 4s
owners
answers
check
----
a {"owner":{"host":"a1","birth":1},"epoch":1} pools=3
b {"owner":{"host":"b2","birth":4},"epoch":1} pools=2
c {"owner":{"host":"c2","birth":6},"epoch":1} pools=3
c1 done 900 ms
every promise kept
