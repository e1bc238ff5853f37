# A starting host reads the registrations of its peers before its configuration
# has been checked. It must keep them; otherwise it treats every peer as
# unreachable and refuses callers' own ids until the peers restart.
story
world zones=a,b hosts=2 servers=1 seeds=0
submit c1 at=a1 id=k1 tasks=4
submit c2 at=b2 id=k2 tasks=4
run 5s
answers
check
----
c1 complete
c2 complete
every promise kept
