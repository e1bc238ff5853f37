# A second host is stopped while the first still drains. Both end, and no
# caller sees a cut-off request.
story
world zones=a,b hosts=2 servers=2 slots=2 ms=1000
submit c at=a1 times=20
submit d at=b1 times=20
submit e at=a2 id=k1 tasks=10
run 100ms
shutdown a1
run 300ms
shutdown b1
run 60s
hosts
answers
check
----
a1 ended revision 1
a2 running revision 1
b1 ended revision 1
b2 running revision 1
c-0 complete
c-1 complete
c-10 complete
c-11 complete
c-12 complete
c-13 not run
c-14 complete
c-15 complete
c-16 complete
c-17 complete
c-18 complete
c-19 complete
c-2 complete
c-3 complete
c-4 complete
c-5 complete
c-6 complete
c-7 complete
c-8 complete
c-9 not run
d-0 complete
d-1 complete
d-10 complete
d-11 complete
d-12 complete
d-13 complete
d-14 complete
d-15 complete
d-16 complete
d-17 complete
d-18 complete
d-19 complete
d-2 complete
d-3 complete
d-4 complete
d-5 complete
d-6 complete
d-7 complete
d-8 complete
d-9 complete
e complete
every promise kept
