# Links lose a worker's answers to start orders, but the worker carries the orders out and
# lists the runs. If such runs were stopped and restarted, a task would never end there, or
# end a second late on another worker.
story
world zones=a hosts=1 workers=1
worker a-w1 late 0ms
submit c1 at=a1 tasks=2 ms=600 deadline=4s
run 5s
answers
starts
check
settled
----
c1 done 615 ms
a-w1 2
every promise kept
every call answered
