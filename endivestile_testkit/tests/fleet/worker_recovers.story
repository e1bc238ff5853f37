# A worker freezes for two seconds and recovers; its estimated speed is then close to zero.
# If it got no task before that estimate had decayed, half of the zone's capacity would be
# lost for half a minute, and callers of the next burst would be refused.
story
world zones=a hosts=1 workers=2 cpu=16000
submit usual at=a1 tasks=2 ms=100 times=10 every=250ms
worker a-w1 hangs
submit stalled at=a1 tasks=2 ms=100 times=4 every=500ms
worker a-w1 good
run 1s
submit burst at=a1 tasks=2 ms=100 times=10 every=250ms
run 3s
answers
starts
check
settled
----
usual-0 done 100 ms
usual-1 done 100 ms
usual-2 done 100 ms
usual-3 done 100 ms
usual-4 done 100 ms
usual-5 done 100 ms
usual-6 done 100 ms
usual-7 done 100 ms
usual-8 done 100 ms
usual-9 done 100 ms
stalled-0 done 365 ms
stalled-1 done 200 ms
stalled-2 done 340 ms
stalled-3 done 200 ms
burst-0 done 100 ms
burst-1 done 100 ms
burst-2 done 100 ms
burst-3 done 100 ms
burst-4 done 100 ms
burst-5 done 100 ms
burst-6 done 100 ms
burst-7 done 100 ms
burst-8 done 100 ms
burst-9 done 100 ms
a-w1 22
a-w2 28
every promise kept
every call answered
