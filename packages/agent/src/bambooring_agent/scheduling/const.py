"""Define the limits and refusal reasons of the scheduler."""

import typing

from bambooring_core.dispatch import messages as dispatch

# How long an attempt that was refused or has ended is remembered, so that a
# late copy of its start message isn't run.
TOMBSTONE_LIFETIME_S: typing.Final = 300.0

# How long the output of an ended attempt is kept for an entry instance that
# doesn't acknowledge its end.
ENDED_RETENTION_S: typing.Final = 30.0

# How long an idempotent attempt goes on without a link to its entry instance.
DETACHED_TIMEOUT_S: typing.Final = 10.0

# Output of one attempt that is not acknowledged; beyond it the call ends.
MAX_BUFFER_BYTES: typing.Final = 8 * 1024 * 1024

# Weight of the newest attempt in the moving average of service times.
SERVICE_TIME_SMOOTHING: typing.Final = 0.1

# How long queued attempts may still start after the target began to leave.
QUEUE_DRAIN_S: typing.Final = 2.0

# The order in which lanes are offered a free slot.
LANE_ORDER: typing.Final = (
    dispatch.Lane.SUSPECT,
    dispatch.Lane.LONG,
    dispatch.Lane.SHORT,
)

REASON_DUPLICATE: typing.Final = 'duplicate'
REASON_EXPIRED: typing.Final = 'expired_in_queue'
REASON_LEAVING: typing.Final = 'target_leaving'
REASON_NEVER_ARRIVED: typing.Final = 'never_arrived'
REASON_NOT_READY: typing.Final = 'target_not_ready'
REASON_QUEUE_FULL: typing.Final = 'queue_full'
REASON_RESTARTED: typing.Final = 'agent_restarted'
REASON_WAIT_TOO_LONG: typing.Final = 'wait_too_long'
REASON_WRONG_INCARNATION: typing.Final = 'wrong_incarnation'
