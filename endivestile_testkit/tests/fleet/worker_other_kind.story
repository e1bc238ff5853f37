# A worker is restarted under its id as another kind while the store cannot be reached. Its owner
# learns of the restart by the worker's next reply, and must not start tasks there that require the
# label of the former kind.
story
world zones=a hosts=1 workers=2 cpu=16000
submit warm at=a1 tasks=1 ms=100 label=a-r0
store down
run 500ms
worker a-w1 crash
worker a-w1 label other
run 300ms
submit c at=a1 tasks=1 ms=100 label=a-r0 times=10 every=100ms deadline=1500ms
submit d at=a1 tasks=2 ms=100 deadline=2s
run 3s
counts
store up
run 2s
submit e at=a1 tasks=1 ms=100 label=other
run 2s
counts
check
settled
----
done: 2
not_run overload: 10
done: 3
not_run overload: 10
every promise kept
every call answered
