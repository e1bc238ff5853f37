# Callers go on calling a host that was told to stop, as a balancer that does not
# look at readiness would. The host must end all the same: what it took before is
# answered, later calls are refused, and nothing is cut off.
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
