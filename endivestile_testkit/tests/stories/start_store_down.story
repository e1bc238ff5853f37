# The platform's store is down for a minute, and a home dies meanwhile. Shards
# whose hosts all live continue; the dead home's shard cannot change hands, and
# callers get the answer unknown at once rather than at their deadline.
story
world zones=a,b hosts=2 servers=2
store down
submit c1 at=a1 id=k1
submit c2 at=b1 id=k2
submit c3 at=a2 id=k3
run 1s
kill home k1
run 3s
submit c4 at=b1 id=k1
submit c5 at=b2 id=k1
run 1s
answers
store up
run 8s
submit c6 at=b2 id=k1
run 4s
answers
check
----
c1 complete
c2 complete
c3 complete
c4 unknown ShardMoving after 0.0 s
c5 unknown ShardMoving after 0.0 s
c1 complete
c2 complete
c3 complete
c4 unknown ShardMoving after 0.0 s
c5 unknown ShardMoving after 0.0 s
c6 failed HomeLost
every promise kept
