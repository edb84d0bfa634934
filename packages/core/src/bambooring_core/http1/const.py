"""Define the limits of connections."""

import typing

READ_SIZE_BYTES: typing.Final = 64 * 1024

# A writer is asked to pause above this much unsent output.
OUT_BUFFER_HIGH_BYTES: typing.Final = 128 * 1024

MAX_HEADER_BYTES: typing.Final = 16 * 1024
MAX_BODY_BYTES: typing.Final = 4 * 1024 * 1024
HEADER_TIMEOUT_S: typing.Final = 3.0
IDLE_TIMEOUT_S: typing.Final = 15.0

# How often idle and slow connections are looked for.
SWEEP_INTERVAL_S: typing.Final = 1.0

# After an error the peer gets this long to read the response before the
# connection is closed: closing with unread input resets the channel.
LINGER_S: typing.Final = 1.0

LISTEN_BACKLOG: typing.Final = 1024
