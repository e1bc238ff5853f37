# Zone c is cut off from the other zones and from the store. Inside it, requests
# without an id and with minted ids continue; ids whose home is outside are
# answered unknown at once. After the cut nothing has started twice.
story
world zones=a,b,c hosts=2 servers=2
mint m1 at=c1
cut c a
cut c b
cut c store
run 3s
submit c1 at=c1
submit c2 at=c1 id=m1
submit c3 at=c2 id=k1
submit c4 at=a1 id=k1
run 6s
answers
heal
run 5s
submit c5 at=c1 id=k1
submit c6 at=b1 id=k1
run 5s
answers
check
----
c1 complete
c2 complete
c3 unknown WitnessAway after 0.0 s
c4 complete
c1 complete
c2 complete
c3 unknown WitnessAway after 0.0 s
c4 complete
c5 complete
c6 complete
every promise kept
