# A zone is full. The owner of another zone reports free capacity but cannot be reached:
# after a cut, the link of one direction is back before the other. Tasks forwarded there
# would wait for that link until their deadline.
story
world zones=a,b hosts=1 workers=2 seed=3
mute a1 b1
run 2s
submit c at=a1 tasks=4 ms=200 deadline=2s times=2
run 3s
answers
check
settled
----
c-0 done 205 ms
c-1 done 405 ms
every promise kept
every call answered
