# The home is cut off from its witness, which takes the shard over through a
# store so slow that the swap takes seconds. The cut heals during the swap, and
# the home, which the record still names, sends the witness what callers
# submitted. The witness must refuse it by its fence, or both would start the
# same ids.
story
world zones=a,b hosts=1 servers=2 shards=1 ms=300
submit c0 at=a1 id=k0
run 2s
store slow 3s
cut a1 b1
run 2s
submit c1 at=a1 id=k1 tasks=3
submit c2 at=b1 id=k1 tasks=3
run 500ms
heal
run 100ms
submit c3 at=a1 id=k2 tasks=2
submit c4 at=b1 id=k2 tasks=2
run 1s
submit c5 at=b1 id=k3
submit c6 at=a1 id=k3
run 30s
store slow 2ms
run 10s
answers
starts
check
settled
----
c0 complete
c1 complete
c2 complete
c3 complete
c4 complete
c5 complete
c6 complete
k0 started 1
k1 started 3
k2 started 2
k3 started 1
every promise kept
every call answered
