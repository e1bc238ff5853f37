# A caller sends a payment again long after it was forgotten, by another host,
# and once more by a host that was restarted meanwhile. Forgetting must not
# mean starting again: it is told that nothing is known of so old an id.
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
