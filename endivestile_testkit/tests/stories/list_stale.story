# The platform's list is stale: it reports a dead host as live and misses a
# server that itself reports that it is leaving. Observations on the links take
# precedence over the list.
story
world zones=a hosts=3 servers=3 slots=2 ms=200
list a3 live
kill a3
run 2s
server a-s1 leaves
list a-s1 live
server a-s1 leaves
submit c at=a1 times=30
submit d at=a2 id=k times=10
run 10s
answers
starts
check
settled
----
c: 30 complete
d: 10 complete
c started 30
k started 10
every promise kept
every call answered
