# A backend server dies during a job and two tasks are lost with it. The job
# fails as a whole; the caller gets no partial answer.
story
world zones=a hosts=1 servers=2 slots=2 ms=500
submit c1 at=a1 id=k1 tasks=8
run 100ms
server a-s1 closes
run 10s
answers
check
----
c1 failed Lost { task: 2, peer: "a-s1" }
every promise kept
