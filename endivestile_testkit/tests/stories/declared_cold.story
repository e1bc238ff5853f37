# Before any run time is known, the first requests declare a minute although
# they take a hundred milliseconds. Judged by the declaration alone they would
# miss their deadline, and an idle service would refuse its callers.
story
world zones=a hosts=2 servers=4 slots=2 ms=100
submit first at=a1 times=12 declared=60s deadline=2s
run 3s
submit again at=a2 times=12 declared=60s deadline=2s
run 20s
submit later at=a2 times=12 declared=60s deadline=2s
run 3s
answers
starts
check
settled
----
again: 12 complete
first: 12 complete
later: 12 complete
again started 12
first started 12
later started 12
every promise kept
every call answered
