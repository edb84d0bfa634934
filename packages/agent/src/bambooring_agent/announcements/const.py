"""Define how a target is announced."""

import typing

ANNOUNCE_INTERVAL_S: typing.Final = 1.0
ANNOUNCE_TO: typing.Final = 3
