# A rolling update under load: each host is stopped, ends when drained, and
# restarts before the next one is stopped. Callers use other hosts once a host
# is not ready, and no connection breaks.
story
world zones=a,b hosts=2 servers=2 slots=4 ms=300
submit c at=a1 id=a times=20 tasks=2
submit p at=a1 times=20
run 200ms
shutdown a1
run 8s
start a1
run 3s
submit d at=a2 id=b times=20 tasks=2
run 200ms
shutdown a2
run 8s
start a2
run 3s
submit e at=b1 id=c times=20 tasks=2
run 200ms
shutdown b1
run 8s
start b1
run 3s
submit f at=b2 id=d times=20 tasks=2
run 200ms
shutdown b2
run 8s
start b2
run 3s
submit g at=a1 id=a times=20 tasks=2
submit h at=b2 id=e times=20
run 10s
answers
starts
check
settled
----
c: 20 complete
d: 20 complete
e: 20 complete
f: 20 complete
g: 20 failed HomeLost
h: 20 complete
p: 20 complete
a started 40
b started 40
c started 40
d started 40
e started 20
p started 20
every promise kept
every call answered
