# The home is paused for ten seconds, long enough for its witness to take the
# shard over, and resumes unaware of that. Callers resubmit meanwhile and
# afterwards. Whatever the answers, nothing starts twice.
story
world zones=a,b,c hosts=2 servers=2 ms=300
submit c0 at=a1 id=k0
run 2s
pause home k0
submit c1 at=b1 id=k1
submit c2 at=c1 id=k2
submit c3 at=a2 id=k3
submit c4 at=b2 id=k0
run 10s
resume all
submit c5 at=c2 id=k1
submit c6 at=a1 id=k2
submit c7 at=b1 id=k3
submit c8 at=a1 id=k4
run 10s
answers
check
----
c0 complete
c1 complete
c2 complete
c3 complete
c4 failed HomeLost
c5 complete
c6 complete
c7 complete
c8 complete
every promise kept
