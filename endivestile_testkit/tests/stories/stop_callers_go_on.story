# Callers keep calling a stopping host, as a load balancer that ignores
# readiness does. The host must still end: calls that it accepted before are
# answered, later ones are refused, and no connection breaks.
story
world zones=a hosts=1 servers=2 slots=4 ms=100
submit c at=a1 times=20 every=50ms
shutdown a1
submit d at=a1 times=60 every=50ms
submit e at=a1 id=k times=20 every=50ms
run 5s
hosts
check
settled
----
a1 ended revision 1
every promise kept
every call answered
