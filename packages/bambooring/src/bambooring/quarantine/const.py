"""Define when a request is suspected and for how long."""

import typing

SUSPICION_TTL_S: typing.Final = 300.0
CRASHED_TARGETS_LIMIT: typing.Final = 2
MAX_SUSPECTS: typing.Final = 10_000

REASON_QUARANTINED: typing.Final = 'quarantined'
REASON_TARGET_LOST: typing.Final = 'target_lost'
