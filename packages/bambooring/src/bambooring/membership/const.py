"""Define the durations of leases and the timing of gossip.

A lease runs from the time of the announcement.
"""

import typing

TARGET_LEASE_S: typing.Final = 12.0
SAME_DOMAIN_LEASE_S: typing.Final = 2.5
OTHER_DOMAIN_LEASE_S: typing.Final = 12.0
# Minimum time between two mere renewals of a lease sent to one peer.
RENEWAL_INTERVAL_S: typing.Final = 4.0
PRESENCE_INTERVAL_S: typing.Final = 0.8
SEND_NEWS_DELAY_S: typing.Final = 0.1
# Peers chosen by rendezvous hashing, besides the next one by name; with
# fewer peers than this in all, all seeds are linked too.
PEER_LINKS: typing.Final = 2
# Own presences announced before the next seed takes its turn as a peer.
PRESENCES_PER_SEED: typing.Final = 10
# Instances of a failure domain that gossip with other domains.
RELAYS_PER_DOMAIN: typing.Final = 2
