# A caller cancels a job while its tasks finish. The answer is either cancelled
# or, if it was complete first, the whole result, never a part of it.
story
world zones=a,b hosts=2 servers=2 slots=1 ms=200
submit c1 at=a1 id=k1 tasks=10
submit c2 at=b1 id=k2
run 210ms
cancel x1 at=b2 id=k1
cancel x2 at=a1 id=k2
run 1s
ask q1 at=a2 id=k1
submit c3 at=b1 id=k1 tasks=10
run 5s
answers
check
----
c1 cancelled Cancelled
c2 cancelled Cancelled
c3 cancelled Cancelled
q1 cancelled Cancelled
x1 cancelled Cancelled
x2 cancelled Cancelled
every promise kept
