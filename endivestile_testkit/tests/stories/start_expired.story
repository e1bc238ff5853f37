# A caller submits a payment again long after its record was dropped: at another
# host, and at a host that has restarted meanwhile. A dropped record must not
# lead to a second start: the answer for an id that old is unknown.
story
world zones=a,b hosts=1 servers=2 shards=1 window=60s
submit c1 at=a1 id=k1
run 100s
submit c2 at=b1 id=k1
run 150s
submit c3 at=b1 id=k1
submit c4 at=a1 id=k1
run 1s
kill a1
start a1
run 10s
submit c5 at=a1 id=k1
run 5s
answers
starts
check
----
c1 complete
c2 complete
c3 unknown Expired after 0.0 s
c4 unknown Expired after 0.0 s
c5 unknown Expired after 0.0 s
k1 started 1
every promise kept
