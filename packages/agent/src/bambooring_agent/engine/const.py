"""Define the limits of calls to the target."""

import typing

CONNECT_TIMEOUT_S: typing.Final = 1.0
HEALTH_INTERVAL_S: typing.Final = 0.5
HEALTH_TIMEOUT_S: typing.Final = 2.0
HEALTH_FAILURES: typing.Final = 2
IDLE_HANDLES: typing.Final = 64
MAX_CONNECTIONS: typing.Final = 1024

STREAM_TYPE: typing.Final = 'text/event-stream'
STREAM_END: typing.Final = b'[DONE]'
TAIL_BYTES: typing.Final = 64

REASON_TARGET_LOST: typing.Final = 'target_lost'
REASON_TARGET_TIMEOUT: typing.Final = 'target_timeout'
REASON_TARGET_UNREACHABLE: typing.Final = 'target_unreachable'
REASON_STREAM_CUT: typing.Final = 'stream_cut'

HOP_BY_HOP: typing.Final = frozenset(
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
