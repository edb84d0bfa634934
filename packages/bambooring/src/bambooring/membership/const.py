"""Define the leases and the gossip's pace."""

import typing

TARGET_LEASE_S: typing.Final = 12.0
NEAR_LEASE_S: typing.Final = 2.5
FAR_LEASE_S: typing.Final = 12.0
RENEWAL_S: typing.Final = 4.0
PRESENCE_INTERVAL_S: typing.Final = 0.8
RELAY_DELAY_S: typing.Final = 0.1
PEER_LINKS: typing.Final = 2
SEED_TURNS: typing.Final = 10
RELAYS: typing.Final = 2
