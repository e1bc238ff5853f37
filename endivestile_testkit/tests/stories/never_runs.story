# Jobs that can never run, since they need more memory, accelerators or
# processor time than any worker has. They are refused at once instead of
# waiting until their deadlines, and one such task refuses its whole job.
story
world zones=a,b hosts=1 servers=1 workers=2
submit c1 at=a1 id=k1 cpu=1000 memory=9000
submit c2 at=b1 id=k2 cpu=1000 memory=64 accelerators=2
submit c3 at=a1 id=k3 cpu=4001 memory=64
submit c4 at=b1 id=k4 tasks=3 cpu=4000 memory=8192
run 100ms
answers
run 10s
answers
starts
check
----
c1 not run NoBackend after 0.0 s
c2 not run NoBackend after 0.0 s
c3 not run NoBackend after 0.0 s
c4 open
c1 not run NoBackend after 0.0 s
c2 not run NoBackend after 0.0 s
c3 not run NoBackend after 0.0 s
c4 complete
k4 started 3
every promise kept
