"""Define the limits of calls to the engine."""

import typing

CONNECT_TIMEOUT_S: typing.Final = 1.0
HEALTH_INTERVAL_S: typing.Final = 0.5
HEALTH_TIMEOUT_S: typing.Final = 2.0
# Consecutive failed checks after which the engine isn't ready.
UNHEALTHY_AFTER_FAILURES: typing.Final = 2
# Handles of ended calls that are kept for reuse.
MAX_IDLE_HANDLES: typing.Final = 64
MAX_CONNECTIONS: typing.Final = 1024

EVENT_STREAM_TYPE: typing.Final = 'text/event-stream'
# Is in the last event of a complete stream of the chat protocol.
STREAM_END_MARKER: typing.Final = b'[DONE]'
BODY_TAIL_BYTES: typing.Final = 64

REASON_TARGET_LOST: typing.Final = 'target_lost'
REASON_TARGET_TIMEOUT: typing.Final = 'target_timeout'
REASON_TARGET_UNREACHABLE: typing.Final = 'target_unreachable'
REASON_STREAM_CUT: typing.Final = 'stream_cut'

# Response headers that are not passed on: the hop-by-hop ones, and the
# length, date and server.
DROPPED_HEADERS: typing.Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'date',
        'server',
    )
)
