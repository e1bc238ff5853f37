# A home pauses, its shard is taken over and the submission runs at the new
# home. The old home resumes with its queued work and must not refuse the
# returning caller as not run, since the task did run.
story
world zones=a,b hosts=2 servers=1 slots=1 ms=3000 shards=1
submit c0 at=a1 id=k0
run 200ms
pause home k0
run 8s
submit c1 at=a1 id=k1 deadline=20s
submit c2 at=a2 id=k1 deadline=20s
submit c3 at=b1 id=k1 deadline=20s
run 100ms
resume all
submit c4 at=a1 id=k1 deadline=1s
submit c5 at=b2 id=k1 deadline=1s
run 30s
answers
check
----
c0 failed HomeLost
c1 complete
c2 complete
c3 complete
c4 failed Deadline
c5 failed Deadline
every promise kept
