# A rack is lost permanently, and with it home and witness of some shards. Their
# ids are answered unknown until operators remove the dead hosts from the
# inventory; then the shards serve ids dated after that, and old ids stay
# unknown.
story
world zones=a hosts=4 servers=2 shards=16
submit c1 at=a1 id=k1
submit c2 at=a1 id=k2
submit c3 at=a1 id=k3
submit c4 at=a1 id=k4
submit c5 at=a1 id=k5
submit c6 at=a1 id=k6
run 3s
kill a1
kill a2
run 10s
submit d1 at=a3 id=k1
submit d2 at=a3 id=k2
submit d3 at=a3 id=k3
submit d4 at=a3 id=k4
submit d5 at=a3 id=k5
submit d6 at=a3 id=k6
run 5s
answers
accept without=a1,a2
run 130s
submit e1 at=a4 id=k1
submit e2 at=a3 id=n2
submit e3 at=a4 id=n3
submit e4 at=a3 id=n4
submit e5 at=a4 id=n5
submit e6 at=a3 id=n6
run 5s
answers
check
----
c1 complete
c2 complete
c3 complete
c4 complete
c5 complete
c6 complete
d1 unknown HomeAway after 3.9 s
d2 failed HomeLost
d3 failed HomeLost
d4 complete
d5 failed HomeLost
d6 complete
c1 complete
c2 complete
c3 complete
c4 complete
c5 complete
c6 complete
d1 unknown HomeAway after 3.9 s
d2 failed HomeLost
d3 failed HomeLost
d4 complete
d5 failed HomeLost
d6 complete
e1 unknown Expired after 0.0 s
e2 complete
e3 complete
e4 complete
e5 complete
e6 complete
every promise kept
