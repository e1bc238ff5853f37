# Operators accept a configuration, the store goes down, and one host restarts
# during the outage. It gets the configuration from a peer. An older one that a
# slow peer offers is not adopted.
story
world zones=a,b hosts=2 servers=1
accept limit=50
run 1s
hosts
store down
kill a1
run 2s
start a1
run 5s
hosts
submit c1 at=a1
run 1s
answers
offer-old b1
offer-old a2
run 1s
hosts
check
----
a1 running revision 2
a2 running revision 2
b1 running revision 2
b2 running revision 2
a1 running revision 2
a2 running revision 2
b1 running revision 2
b2 running revision 2
c1 complete
a1 running revision 2
a2 running revision 2
b1 running revision 2
b2 running revision 2
every promise kept
