# A host sends a job to the owner of its zone just as the two are cut off from each other.
# The job is reassigned to the other zone; when the cut heals, the delayed message arrives.
# The owner has to refuse it as too old, or the job would run twice.
story
world zones=a,b hosts=2 workers=1
owners
cut a1 a2
submit c at=a2 tasks=1 ms=2500 deadline=9s
run 1600ms
heal
run 4s
answers
starts
check
settled
----
a {"owner":{"host":"a1","birth":1},"epoch":1} pools=1
b {"owner":{"host":"b2","birth":4},"epoch":1} pools=1
c done 3748 ms
b-w1 1
every promise kept
every call answered
