"""Define limits and timeouts of attempts, and reason codes of failures."""

import typing

# How long an attempt waits for a new link to its agent.
RESUME_TIMEOUT_S: typing.Final = 3.0
# How long after its deadline a booking is still awaited.
BOOKING_GRACE_S: typing.Final = 5.0
# An acknowledgement is sent to the agent whenever this many more bytes have
# been received.
ACKNOWLEDGE_INTERVAL_BYTES: typing.Final = 64 * 1024
# A longer error body is forwarded without waiting for its end.
BUFFERED_ERROR_LIMIT_BYTES: typing.Final = 64 * 1024
MAX_ATTEMPTS: typing.Final = 4

REASON_AGENT_RESTARTED: typing.Final = 'agent_restarted'
REASON_ANSWER_CHANGED: typing.Final = 'answer_changed'
REASON_BOOKING_HELD: typing.Final = 'booking_held'
REASON_CLAIMS_FULL: typing.Final = 'claims_full'
REASON_KEY_REUSED: typing.Final = 'key_reused'
REASON_CLAIM_RELEASED: typing.Final = 'claim_released'
REASON_CLAIM_NOT_COMMITTED: typing.Final = 'claim_not_committed'
REASON_DEADLINE: typing.Final = 'deadline'
REASON_LINK_LOST: typing.Final = 'link_lost'
REASON_NO_TARGET: typing.Final = 'no_target'
REASON_TARGET_ERROR: typing.Final = 'target_error'
REASON_START_DEADLINE: typing.Final = 'not_started_in_time'
