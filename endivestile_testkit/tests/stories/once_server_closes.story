# Backend servers take a payment and close the connection without an answer.
# Nobody can tell whether it was made, so the trader is told that it failed and
# it is not sent again; a plain question without an id is asked elsewhere.
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
