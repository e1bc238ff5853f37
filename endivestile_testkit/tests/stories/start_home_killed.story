# The host that runs a job dies during it. The caller's connection breaks, it
# submits the same id at other hosts, and the answer is that the job failed:
# some tasks have run, and starting them again would execute them twice.
story
world zones=a,b,c hosts=2 servers=2 slots=1 ms=500
submit c1 at=a1 id=k1 tasks=20
run 700ms
kill home k1
run 100ms
submit c2 at=b1 id=k1 tasks=20
submit c3 at=c1 id=k1 tasks=20
run 10s
submit c4 at=b2 id=k1 tasks=20
run 5s
answers
check
----
c1 failed HomeLost
c2 failed HomeLost
c3 failed HomeLost
c4 failed HomeLost
every promise kept
