"""Define the scheduler's limits."""

import typing

from bambooring_core.dispatch import messages as dispatch

TOMBSTONE_LIFETIME_S: typing.Final = 300.0
ENDED_RETENTION_S: typing.Final = 30.0
DETACHED_TIMEOUT_S: typing.Final = 10.0
MAX_BUFFER_BYTES: typing.Final = 8 * 1024 * 1024
SERVICE_TIME_SMOOTHING: typing.Final = 0.1
QUEUE_DRAIN_S: typing.Final = 2.0

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
