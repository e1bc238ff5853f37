# Zone a is cut off, and the platform lists its hosts as gone although they
# still serve. Outside, no host may take over a shard whose home and witness are
# both in zone a; callers there are answered unknown, and nothing starts twice.
story
world zones=a,b hosts=2 servers=2 shards=4
submit c0 at=a1 id=k0
run 1s
cut a b
cut a store
list a1 gone
list a2 gone
run 3s
submit c1 at=a1 id=k1
submit c2 at=a2 id=k2
submit c3 at=b1 id=k1
submit c4 at=b2 id=k2
run 10s
answers
heal
list a1 live
list a2 live
run 10s
submit c5 at=a1 id=k1
submit c6 at=b1 id=k2
submit c7 at=a1 id=k7
submit c8 at=b1 id=k8
run 5s
answers
check
----
c0 complete
c1 unknown HomeAway after 0.5 s
c2 unknown ShardMoving after 0.0 s
c3 complete
c4 complete
c0 complete
c1 unknown HomeAway after 0.5 s
c2 unknown ShardMoving after 0.0 s
c3 complete
c4 complete
c5 complete
c6 complete
c7 complete
c8 complete
every promise kept
