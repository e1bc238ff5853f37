# A backend server leaves: by the platform's list, by an operator's stop, or by
# its own answer. A few seconds later it gets no new work, and callers notice
# nothing.
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
check
starts
----
every promise kept
c-0 started 1
c-1 started 1
c-2 started 1
c-3 started 1
c-4 started 1
c-5 started 1
c-6 started 1
c-7 started 1
c-8 started 1
c-9 started 1
d-0 started 1
d-1 started 1
d-10 started 1
d-12 started 1
d-13 started 1
d-15 started 1
d-16 started 1
d-18 started 1
d-19 started 1
d-2 started 1
d-21 started 1
d-22 started 1
d-24 started 1
d-25 started 1
d-27 started 1
d-28 started 1
d-3 started 1
d-6 started 1
d-7 started 1
d-9 started 1
e-0 started 1
e-1 started 1
e-10 started 1
e-11 started 1
e-12 started 1
e-13 started 1
e-14 started 1
e-15 started 1
e-16 started 1
e-17 started 1
e-18 started 1
e-19 started 1
e-2 started 1
e-20 started 1
e-21 started 1
e-22 started 1
e-23 started 1
e-24 started 1
e-25 started 1
e-26 started 1
e-27 started 1
e-28 started 1
e-29 started 1
e-3 started 1
e-4 started 1
e-5 started 1
e-6 started 1
e-7 started 1
e-8 started 1
e-9 started 1
f-0 started 1
f-1 started 1
f-2 started 1
f-3 started 1
f-4 started 1
f-5 started 1
f-6 started 1
