# An operator stops a host under load: it finishes every call it took, hands its
# shards over, and ends. No caller sees a cut-off request.
story
world zones=a,b hosts=2 servers=2 slots=2 ms=300
submit c at=a1 times=40
submit d at=b1 id=k1 tasks=20
submit e at=a1 id=k2 tasks=10
run 100ms
shutdown a1
run 100ms
submit f at=a1 times=3
run 30s
hosts
answers
check
----
a1 ended revision 1
a2 running revision 1
b1 running revision 1
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
c-20 complete
c-21 complete
c-22 complete
c-23 complete
c-24 complete
c-25 complete
c-26 complete
c-27 complete
c-28 complete
c-29 complete
c-3 complete
c-30 complete
c-31 complete
c-32 complete
c-33 complete
c-34 complete
c-35 complete
c-36 complete
c-37 complete
c-38 complete
c-39 complete
c-4 complete
c-5 complete
c-6 complete
c-7 complete
c-8 complete
c-9 not run
d complete
e complete
f-0 complete
f-1 complete
f-2 complete
every promise kept
