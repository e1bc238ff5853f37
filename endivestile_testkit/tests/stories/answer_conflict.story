# Two callers submit different work under the same id. The second is refused
# with a conflict and none of its tasks runs; the first gets its own answer.
story
world zones=a,b hosts=2 servers=2
submit c1 at=a1 id=k1 work=first tasks=2
run 10ms
submit c2 at=b1 id=k1 work=second tasks=2
run 5s
answers
starts
check
----
c1 complete
c2 conflict
first started 2
every promise kept
