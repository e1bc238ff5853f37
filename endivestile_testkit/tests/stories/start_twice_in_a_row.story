# The home dies, and its successor dies as soon as it has taken the shard over.
# Callers resubmit after each death at any host that still answers.
story
world zones=a,b,c hosts=2 servers=2 shards=1 ms=400
submit c1 at=a1 id=k1 tasks=6
submit c2 at=b1 id=k2 tasks=6
run 200ms
kill home k1
run 2500ms
submit c3 at=c1 id=k1 tasks=6
submit c4 at=c2 id=k3 tasks=6
run 300ms
kill home k1
run 3s
submit c5 at=c2 id=k1 tasks=6
submit c6 at=c1 id=k2 tasks=6
submit c7 at=b2 id=k3 tasks=6
run 30s
submit c8 at=b2 id=k4
run 5s
answers
check
settled
----
c1 failed HomeLost
c2 failed HomeLost
c3 broken
c4 failed HomeLost
c5 failed HomeLost
c6 broken
c7 failed HomeLost
c8 complete
every promise kept
every call answered
