# A host cannot reach the store when a zone is evacuated. It gets the start and the end of
# the evacuation from its peers' frames.
story
world zones=a,b hosts=2 workers=2
cut a1 store
cut a2 store
run 1s
evacuate a
run 600ms
submit c at=a1 ms=100 times=5 every=20ms
submit d at=a2 ms=100 times=5 every=20ms
run 1s
counts
starts
evacuate a off
run 600ms
submit e at=a1 ms=100 times=5 every=20ms
run 1s
counts
starts
check
----
done: 10
b-w1 6
b-w2 4
done: 15
a-w1 2
a-w2 2
b-w1 7
b-w2 4
every promise kept

# Hosts start while their zone is evacuated, including all hosts of a zone at once.
story
world zones=a,b hosts=2 workers=2
evacuate a
run 100ms
kill a1
kill a2
run 300ms
start a1
start a2
run 1s
submit c at=a1 ms=100 times=5 every=20ms
submit d at=a2 ms=100 times=5 every=20ms
run 2s
counts
starts
check
----
done: 10
b-w1 6
b-w2 4
every promise kept

# The owner of an evacuated zone is killed, and another one stops: whichever host takes the
# workers over starts nothing there.
story
world zones=a,b hosts=3 workers=2
submit c at=a1 ms=100 times=5 every=20ms
evacuate a
run 100ms
owners
kill a1
run 2s
submit d at=a2 ms=100 times=5 every=20ms
stop a2
run 2s
submit e at=a3 ms=100 times=5 every=20ms
run 2s
owners
counts
starts
check
settled
----
a {"owner":{"host":"a1","birth":1},"epoch":1} pools=2
b {"owner":{"host":"b2","birth":5},"epoch":1} pools=1
a {"owner":{"host":"a3","birth":3},"epoch":2} pools=2
b {"owner":{"host":"b2","birth":5},"epoch":1} pools=1
done: 15
a-w1 2
a-w2 2
b-w1 7
b-w2 4
every promise kept
every call answered

# The store becomes unreachable right after an evacuation was requested; the evacuation is
# cancelled while some hosts cannot reach the store.
story
world zones=a,b hosts=2 workers=2
evacuate a
run 20ms
store down
run 500ms
submit c at=a1 ms=100 times=5 every=20ms
run 1s
starts
store up
evacuate a off
run 1s
submit d at=a1 ms=100 times=5 every=20ms
run 1s
counts
starts
check
----
b-w1 3
b-w2 2
done: 10
a-w1 2
a-w2 2
b-w1 4
b-w2 2
every promise kept

# An evacuated zone is cut off from the other zone: its callers are refused and no task is
# started there.
story
world zones=a,b hosts=2 workers=2
evacuate a
run 100ms
cut a b
run 1s
submit c at=a1 ms=100 times=3 every=20ms
run 3s
counts
starts
heal
run 2s
submit d at=a1 ms=100 times=3 every=20ms
run 1s
counts
check
----
not_run no_placer: 3
done: 3
not_run no_placer: 3
every promise kept

# An evacuation ends while all hosts but one are down, and that one cannot reach the store.
# It reports the evacuation to hosts that start, and dies. They have read the store since;
# if they accepted its report, the zone would stay evacuated for ever.
story
world zones=a,b hosts=2 workers=2
cut a1 store
evacuate a
run 600ms
kill a2
kill b1
kill b2
run 100ms
evacuate a off
run 100ms
start a2
start b1
start b2
run 1600ms
kill a1
heal
run 3s
start a1
run 2s
submit c at=a2 ms=100 times=10 every=20ms
run 1s
counts
starts
check
----
done: 10
a-w1 4
a-w2 4
b-w1 2
every promise kept
