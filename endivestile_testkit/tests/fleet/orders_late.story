# One of two workers leaves start orders unanswered and would carry them out seconds later.
# An order expires 200 ms after it was sent, so the task is restarted elsewhere as soon as
# the worker's list shows no run. Waiting for the whole lease would take three times as long.
story
world zones=a hosts=1 workers=2 cpu=16000
worker a-w1 late 2s
submit c1 at=a1 tasks=2 ms=100 deadline=4s
run 5s
answers
check
settled
----
c1 done 520 ms
every promise kept
every call answered
