"""Define the leases and the gossip's pace."""

import typing

TARGET_LEASE_S: typing.Final = 12.0
SAME_DOMAIN_LEASE_S: typing.Final = 2.5
OTHER_DOMAIN_LEASE_S: typing.Final = 12.0
RENEWAL_INTERVAL_S: typing.Final = 4.0
PRESENCE_INTERVAL_S: typing.Final = 0.8
SEND_NEWS_DELAY_S: typing.Final = 0.1
PEER_LINKS: typing.Final = 2
PRESENCES_PER_SEED: typing.Final = 10
RELAYS_PER_DOMAIN: typing.Final = 2
