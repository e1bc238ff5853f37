# One worker of each zone has an accelerator. Plain tasks arrive first and could
# fill it; tasks that need the accelerator must still get it, and wait while it
# is taken.
story
world zones=a hosts=2 servers=1 workers=3 ms=500
submit p at=a1 times=9 cpu=1000 memory=64
submit g at=a2 times=4 cpu=4000 memory=4000 accelerators=1
run 10s
answers
starts
check
----
g: 4 complete
p: 9 complete
g started 4
p started 9
every promise kept
