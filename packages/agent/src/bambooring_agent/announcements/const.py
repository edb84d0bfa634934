"""Define how a target is announced."""

import typing

ANNOUNCE_INTERVAL_S: typing.Final = 1.0
ENTRY_LINK_COUNT: typing.Final = 3
