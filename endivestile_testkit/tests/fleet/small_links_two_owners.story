# The hosts of a zone have processor time enough, and links of 2 Mbit/s. One owner of all
# workers would send its orders and lease renewals late; the zone has two.
story
world zones=a hosts=4 workers=17 link=2000
run 3s
owners
check
----
a {"owner":{"host":"a1","birth":5},"epoch":1} pools=3
a {"owner":{"host":"a3","birth":7},"epoch":1} pools=3
every promise kept
