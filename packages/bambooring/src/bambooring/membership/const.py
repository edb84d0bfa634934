"""Define the leases and the gossip's pace."""

import typing

TARGET_LEASE_S: typing.Final = 3.0
PRESENCE_LEASE_S: typing.Final = 2.0
GOSSIP_INTERVAL_S: typing.Final = 0.5
PEER_LINKS: typing.Final = 8
