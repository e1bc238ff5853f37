# One worker vanishes during a job under its lease, and another one starts tasks
# and never answers. The job fails as a whole, at the latest at its deadline; a
# payment that hung is not sent to another worker.
story
world zones=a hosts=2 servers=1 workers=3 ms=400
submit c1 at=a1 id=k1 tasks=9 cpu=1000 memory=64
run 100ms
server a-w1 closes
server a-w2 hangs
run 2s
submit c2 at=a2 id=k2 tasks=9 cpu=1000 memory=64 deadline=3s
run 10s
server a-w1 good
server a-w2 good
run 10s
submit c3 at=a1 id=k1 tasks=9 cpu=1000 memory=64
submit c4 at=a2 id=k3 tasks=9 cpu=1000 memory=64
run 20s
answers
check
settled
----
c1 failed Lost { task: 2, peer: "a-w1" }
c2 failed Lost { task: 0, peer: "a-w1" }
c3 failed Lost { task: 2, peer: "a-w1" }
c4 complete
every promise kept
every call answered
