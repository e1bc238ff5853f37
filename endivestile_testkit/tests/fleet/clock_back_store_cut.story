# Guards against a host that stays unknown after a restart with the time of day set back, to a peer
# that cannot reach the store: only frames can show it that this incarnation is the later one.
story
world zones=a hosts=2 workers=2
clock a1 1000
kill a1
run 300ms
start a1
run 5s
cut a2 store
run 100ms
clock a1 0
kill a1
run 300ms
start a1
run 1s
submit c at=a1 times=10 every=50ms tasks=1 ms=100
submit d at=a2 times=10 every=50ms tasks=1 ms=100
run 4s
counts
check
settled
----
done: 20
every promise kept
every call answered
