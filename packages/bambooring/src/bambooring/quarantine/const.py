"""Define when a request is suspected and for how long."""

import typing

KEPT_S: typing.Final = 300.0
TARGETS_LIMIT: typing.Final = 2
SUSPICIONS_LIMIT: typing.Final = 10_000

REASON_QUARANTINED: typing.Final = 'quarantined'
REASON_TARGET_LOST: typing.Final = 'target_lost'
