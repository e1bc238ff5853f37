# Two minutes without load. Once the shards are spread over the hosts, no more
# calls go to the store; at two hundred hosts idle calls would burden the
# platform.
story
world zones=a,b hosts=2 servers=2 shards=64
run 60s
calls
run 120s
calls
check
----
73 calls to the store
0 calls to the store
every promise kept
