# A bad image makes every host of a zone restart again and again, each after a
# few seconds. The other zone serves; ids that only the dead hosts held are
# answered failed or unknown, and nothing starts twice.
story
world zones=a,b hosts=2 servers=2 shards=4 ms=200
submit c at=a1 id=k times=12 tasks=2
run 100ms
kill a1
start a1
run 700ms
kill a2
start a2
submit d at=b1 id=k times=12 tasks=2
run 900ms
kill a1
start a1
kill a2
start a2
run 2s
kill a1
kill a2
submit e at=b2 id=k times=12 tasks=2
run 1s
start a1
start a2
submit f at=b1 id=new times=12
run 30s
submit g at=a1 id=k times=12 tasks=2
submit h at=a2 id=late times=12
run 20s
answers
check
settled
hosts
----
c: 12 broken
d: 8 complete
d: 1 failed HomeLost
d: 3 failed Lost { task: 0, peer: "a1" }
e: 8 complete
e: 1 failed HomeLost
e: 3 failed Lost { task: 0, peer: "a1" }
f: 12 complete
g: 8 complete
g: 1 failed HomeLost
g: 3 failed Lost { task: 0, peer: "a1" }
h: 12 complete
every promise kept
every call answered
a1 running revision 1
a2 running revision 1
b1 running revision 1
b2 running revision 1
