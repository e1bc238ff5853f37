# A home dies, and the store's answers to the takeover are lost although the
# writes took effect. The new home reads the record back before it acts, so
# callers see one owner and no second start.
story
world zones=a,b hosts=2 servers=2
submit c1 at=a1 id=k1
run 2s
store loses 6
kill home k1
run 10s
submit c2 at=a1 id=k1
submit c3 at=b1 id=k1
submit c4 at=a2 id=k5
submit c5 at=b2 id=k6
run 10s
starts
check
----
k1 started 1
k6 started 1
every promise kept
