# An operator stops a host under load. It finishes every call that it accepted,
# hands its shards over and ends. No caller's connection breaks.
story
world zones=a,b hosts=2 servers=2 slots=2 ms=300
submit c at=a1 times=40
submit d at=b1 id=k1 tasks=20
submit e at=a1 id=k2 tasks=10
run 100ms
shutdown a1
run 100ms
submit f at=a1 times=3
run 30s
hosts
answers
check
----
a1 ended revision 1
a2 running revision 1
b1 running revision 1
b2 running revision 1
d complete
e complete
c: 40 complete
f: 3 complete
every promise kept
