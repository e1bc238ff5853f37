# A backend server leaves: by the platform's list, by a planned stop, or by its
# own answer. After a few seconds it gets no new work, and no call fails.
story
world zones=a hosts=2 servers=4 slots=2 ms=100
submit c at=a1 times=10
run 1s
list a-s1 leaving
stop a-s2
server a-s3 leaves
run 1s
submit d at=a1 times=30
submit e at=a2 times=30
run 10s
submit f at=a1 times=30
run 10s
answers
check
starts
----
c: 10 complete
d: 30 complete
e: 30 complete
f: 14 complete
f: 16 not run NoBackend after 0.6 s
every promise kept
c started 10
d started 30
e started 30
f started 14
