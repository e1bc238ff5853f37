# A host sends a job to the owner of its zone just as the two are cut from each
# other. It gives the owner up and has the job run in the other zone; then the cut
# heals, and the message arrives after all. The owner refuses it as too old: a
# caller's work would be done twice at once.
story
world zones=a,b hosts=2 workers=1
owners
cut a1 a2
submit c at=a2 tasks=1 ms=2500 deadline=9s
run 1600ms
heal
run 4s
answers
starts
check
settled
----
a {"owner":{"host":"a1","birth":1},"epoch":1} pools=1
b {"owner":{"host":"b2","birth":4},"epoch":1} pools=1
c done 3763 ms
b-w1 1
every promise kept
every call answered
