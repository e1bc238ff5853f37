# Tasks that declare ten milliseconds take three seconds, and tasks that declare
# a minute take a hundred milliseconds. The declaration is only a hint: jobs
# that fit their deadline are answered, the others are refused, and no task is
# counted twice.
story
world zones=a hosts=2 servers=4 slots=2 ms=100
submit warm at=a1 times=4
run 2s
submit long at=a1 times=12 declared=60s deadline=2s
run 3s
server a-s1 takes 3s
server a-s2 takes 3s
server a-s3 takes 3s
server a-s4 takes 3s
submit short at=a1 id=s times=16 declared=10ms deadline=20s
run 25s
submit again at=a2 id=s times=16 declared=10ms deadline=20s
run 25s
answers
starts
check
settled
----
again: 16 complete
long: 12 complete
short: 16 complete
warm: 4 complete
long started 12
s started 16
warm started 4
every promise kept
every call answered
