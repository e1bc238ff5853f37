# The hosts of one zone have measured their servers as fast before the other
# zone gets its first call. Calls that arrive in the other zone must run there,
# or its servers would never be tried.
story
world zones=a,b hosts=1 servers=2 slots=4 ms=20
submit w at=a1 times=40 every=20ms
run 1s
submit c at=b1 times=40 every=20ms
run 5s
answers
servers
check
----
c: 40 complete
w: 40 complete
a-s1 ran 39
a-s2 ran 1
b-s1 ran 38
b-s2 ran 2
every promise kept
