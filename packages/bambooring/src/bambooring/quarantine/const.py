"""Define when a request is blocked, and the limits of what is kept."""

import typing

# A request is no longer suspected this long after the last crash.
SUSPICION_TTL_S: typing.Final = 300.0
# A request that was running when this many targets crashed is blocked.
CRASHED_TARGETS_LIMIT: typing.Final = 2
# Suspected requests that are kept; beyond that, the first recorded is dropped.
MAX_SUSPECTS: typing.Final = 10_000

REASON_QUARANTINED: typing.Final = 'quarantined'
REASON_TARGET_LOST: typing.Final = 'target_lost'
