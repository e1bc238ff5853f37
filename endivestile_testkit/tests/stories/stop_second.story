# A second host is stopped while the first still drains. Both end, and no
# caller's connection breaks.
story
world zones=a,b hosts=2 servers=2 slots=2 ms=1000
submit c at=a1 times=20
submit d at=b1 times=20
submit e at=a2 id=k1 tasks=10
run 100ms
shutdown a1
run 300ms
shutdown b1
run 60s
hosts
answers
check
----
a1 ended revision 1
a2 running revision 1
b1 ended revision 1
b2 running revision 1
e complete
c: 20 complete
d: 20 complete
every promise kept
