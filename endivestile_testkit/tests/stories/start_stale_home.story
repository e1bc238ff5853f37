# The home is paused for five seconds and cannot reach the store when it
# resumes, so it does not learn that its witness took the shard over. It asks
# that witness for permission to start what a caller submits again at that
# moment. The witness refuses by its fence; otherwise both would start the id.
story
world zones=a,b,c hosts=1 servers=2 shards=1 ms=300
submit c0 at=a1 id=k0
run 2s
cut c1 store
pause c1
run 5s
resume c1
submit c1 at=a1 id=k1 tasks=2
submit c2 at=c1 id=k1 tasks=2
run 10s
heal
run 10s
submit c3 at=c1 id=k1 tasks=2
run 5s
answers
starts
check
settled
----
c0 complete
c1 complete
c2 unknown ShardMoving after 0.0 s
c3 complete
k0 started 1
k1 started 2
every promise kept
every call answered
