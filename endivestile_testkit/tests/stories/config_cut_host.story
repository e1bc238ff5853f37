# One host is cut off from the store, but not from its peers, while operators
# accept two configurations. It adopts the newest one within seconds.
story
world zones=a,b hosts=2 servers=1
cut a1 store
run 1s
accept limit=50
run 1s
accept limit=60
run 4s
hosts
heal
run 2s
hosts
check
----
a1 running revision 3
a2 running revision 3
b1 running revision 3
b2 running revision 3
a1 running revision 3
a2 running revision 3
b1 running revision 3
b2 running revision 3
every promise kept
