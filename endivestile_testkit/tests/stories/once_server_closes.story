# Backend servers start a payment and close the connection without an answer.
# Whether it was made is unknown, so the caller is told that it failed and it is
# not sent again; an idempotent request without an id is retried elsewhere.
story
world zones=a hosts=1 servers=2
server a-s1 closes
submit c1 at=a1 id=k1
submit c2 at=a1 id=k2
submit c3 at=a1 id=k3
submit c4 at=a1
run 5s
answers
check
----
c1 failed Lost { task: 0, peer: "a-s1" }
c2 complete
c3 failed Lost { task: 0, peer: "a-s1" }
c4 complete
every promise kept
