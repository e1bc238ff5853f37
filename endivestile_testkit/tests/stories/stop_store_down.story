# The store is down while a host shuts down. Its shards cannot change hands, but
# every call that it accepted is answered and the process ends.
story
world zones=a,b hosts=2 servers=2 slots=2 ms=300
submit c1 at=a1 id=k1 tasks=10
submit c2 at=a1
run 100ms
store down
shutdown a1
run 60s
hosts
answers
check
----
a1 ended revision 1
a2 running revision 1
b1 running revision 1
b2 running revision 1
c1 complete
c2 complete
every promise kept
