# A job of four tasks is submitted to a host of a zone with two workers. Each caller gets
# the result of its own job.
story
world zones=a,b hosts=2 workers=2
submit c1 at=a1 tasks=4 ms=100
submit c2 at=b2 tasks=2 ms=50
run 1s
answers
owners
check
----
c1 done 100 ms
c2 done 60 ms
a {"owner":{"host":"a1","birth":1},"epoch":1} pools=2
b {"owner":{"host":"b2","birth":4},"epoch":1} pools=1
every promise kept
