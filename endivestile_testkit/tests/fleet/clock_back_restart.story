# Guards against hosts that ignore each other after restarts with the time of day set back: the
# incarnation with the earlier time of start counted as ended, and hosts kept taking pools from
# each other.
story
world zones=a,b hosts=2 workers=2
clock a1 1000
clock a2 1000
clock b1 1000
kill a1
kill a2
kill b1
kill b2
run 300ms
start a1
start a2
start b1
start b2
run 700ms
clock a1 0
clock a2 0
clock b1 0
kill a1
kill a2
kill b1
kill b2
run 300ms
start a1
run 50ms
start a2
run 50ms
start b1
run 50ms
start b2
run 5s
submit c at=a1 times=10 every=50ms tasks=1 ms=100
submit d at=a2 times=10 every=50ms tasks=1 ms=100
submit e at=b1 times=10 every=50ms tasks=1 ms=100
run 4s
counts
counter record_changes
check
settled
----
done: 30
record_changes: 9
every promise kept
every call answered
