# Many jobs prefer one rack. Elsewhere they take three times as long, which misses their
# objective of 156 ms. They have to wait for the rack, where they still meet it, rather than
# take free workers elsewhere.
story
world zones=a hosts=1 workers=6 remote=3
submit warm at=a1 tasks=2 ms=60 times=10 every=100ms
run 1s
submit c at=a1 tasks=6 ms=60 near=a-r1 deadline=2s times=20 every=105ms
run 3s
counts
later 170ms
check
settled
----
done: 30
later than 170 ms: 0
every promise kept
every call answered
