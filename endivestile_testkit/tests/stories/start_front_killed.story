# The front of a call dies while another host runs the job. The caller submits
# it again at a third host, attaches to the running job and gets its complete
# answer.
story
world zones=a,b hosts=3 servers=2
submit c1 at=a1 id=k1 tasks=20
submit c2 at=a2 id=k1 tasks=20
submit c3 at=b3 id=k1 tasks=20
run 50ms
kill a1
submit c4 at=b1 id=k1 tasks=20
submit c5 at=b2 id=k1 tasks=20
run 10s
answers
starts
check
----
c1 broken
c2 failed Lost { task: 0, peer: "a1" }
c3 failed Lost { task: 0, peer: "a1" }
c4 failed Lost { task: 0, peer: "a1" }
c5 failed Lost { task: 0, peer: "a1" }
k1 started 19
every promise kept
