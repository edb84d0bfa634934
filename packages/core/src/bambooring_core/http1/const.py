"""Define the limits and intervals of HTTP/1.1 connections."""

import typing

READ_SIZE_BYTES: typing.Final = 64 * 1024

# With more unsent output than this, a connection is congested and its writer
# is asked to pause.
OUT_BUFFER_HIGH_WATER_BYTES: typing.Final = 128 * 1024

# A connection is not read while it has more input than this behind a request
# that is being handled.
IN_BUFFER_HIGH_WATER_BYTES: typing.Final = 64 * 1024

# Informational responses (1xx) that may come before a response.
MAX_INFORMATIONAL_RESPONSES: typing.Final = 16

MAX_HEADER_BYTES: typing.Final = 16 * 1024
MAX_BODY_BYTES: typing.Final = 4 * 1024 * 1024
HEADER_TIMEOUT_S: typing.Final = 3.0
IDLE_TIMEOUT_S: typing.Final = 15.0

# The interval between checks for idle and slow connections.
SWEEP_INTERVAL_S: typing.Final = 1.0

# How long the peer may read the last response before the connection is
# closed: closing a socket with unread input resets the connection.
LINGER_S: typing.Final = 1.0

LISTEN_BACKLOG: typing.Final = 1024

# No content and not modified.
STATUSES_WITHOUT_BODY: typing.Final = (204, 304)
