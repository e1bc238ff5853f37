# A host is stopped while it has forwarded calls, and while others have
# forwarded calls to it, over links that lose frames. It ends only when all of
# them have their answers.
story
world zones=a,b hosts=2 servers=2 slots=2 ms=300
lose 20
submit c at=a1 id=x times=10 tasks=2
submit d at=b1 id=y times=10 tasks=2
submit e at=b2 id=z times=10 tasks=2
run 50ms
shutdown a1
run 50ms
shutdown b1
run 40s
answers
hosts
check
settled
----
c: 10 complete
d: 10 complete
e: 10 complete
a1 ended revision 1
a2 running revision 1
b1 ended revision 1
b2 running revision 1
every promise kept
every call answered
