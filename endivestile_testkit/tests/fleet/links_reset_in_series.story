# Guards against a cancel that is held back while the links of its host are reset in series: the
# owner kept the jobs, since heartbeats passed, and the callers' retries ran beside them.
story
world zones=a cpus=120,120,120,120 workers=16
owners
submit c at=a2 times=12 tasks=1 ms=3500 deadline=9s again=0
run 600ms
leave c-0
leave c-1
leave c-2
leave c-3
leave c-4
leave c-5
leave c-6
leave c-7
leave c-8
leave c-9
leave c-10
leave c-11
reset a2 times=5 every=400ms
run 1300ms
submit d at=a4 times=12 id=c tasks=1 ms=3500 deadline=9s again=0
run 8s
counts
check
settled
----
a {"owner":{"host":"a1","birth":1},"epoch":1} pools=3
a {"owner":{"host":"a3","birth":3},"epoch":1} pools=3
connection ended: 12
done: 12
every promise kept
every call answered
