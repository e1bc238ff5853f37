# A large task waits for a worker on which small tasks could follow each other for as long as
# they arrive. The worker is reserved for it: a small task behind it is started there only if
# it ends before the run for which the large task waits.
story
world zones=a hosts=1 workers=1 cpu=64000 with=backfill
submit first at=a1 cpu=40000 ms=150
run 20ms
submit large at=a1 cpu=48000 ms=300
submit small at=a1 cpu=20000 ms=400 times=4 every=150ms
run 4s
answers
check
settled
----
first done 150 ms
large done 430 ms
small-0 done 831 ms
small-1 done 681 ms
small-2 done 531 ms
small-3 done 781 ms
every promise kept
every call answered
