# A backend server fails every task at once and therefore always looks free. It
# is ejected after a few failures instead of attracting all the work, and most
# callers get their answer.
story
world zones=a hosts=1 servers=4 slots=2 ms=100
server a-s1 fails
submit c at=a1 times=100
run 20s
answers
check
starts
----
c: 100 complete
every promise kept
c started 106
