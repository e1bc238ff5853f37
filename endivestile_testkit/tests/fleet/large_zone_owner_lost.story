# All pools of a lost owner go to one successor. It restarts the jobs as soon as it has
# cleared the workers, after about 700 ms. Spread over several hosts, the jobs would wait
# half a second longer for leases to expire, and miss their deadlines.
story
world zones=a cpus=90,500,300,300,500 workers=80
submit c at=a1 tasks=6 ms=400 deadline=1900ms times=10 every=2ms
run 100ms
kill a2
run 4s
owners
answers
check
----
a {"owner":{"host":"a3","birth":3},"epoch":1} pools=2
a {"owner":{"host":"a4","birth":4},"epoch":2} pools=3
a {"owner":{"host":"a5","birth":5},"epoch":1} pools=3
c-0 done 400 ms
c-1 done 1388 ms
c-2 done 1386 ms
c-3 done 1384 ms
c-4 done 1382 ms
c-5 done 400 ms
c-6 done 1378 ms
c-7 done 1376 ms
c-8 done 400 ms
c-9 done 400 ms
every promise kept
