# The hosts of a zone have enough processor time but links of only 2 Mbit/s. A single owner
# would send starts and lease renewals late; the zone has to have two.
story
world zones=a hosts=4 workers=17 link=2000
run 3s
owners
check
----
a {"owner":{"host":"a1","birth":5},"epoch":1} pools=3
a {"owner":{"host":"a3","birth":7},"epoch":1} pools=3
every promise kept
