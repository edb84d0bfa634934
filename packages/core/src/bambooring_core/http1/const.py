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

# The highest status of HTTP.
MAX_STATUS: typing.Final = 599

# No content and not modified.
STATUSES_WITHOUT_BODY: typing.Final = (204, 304)

# A body up to this size is always admitted.
SMALL_BODY_BYTES: typing.Final = 64 * 1024

# If memory is short, a connection is stalled that has neither sent nor read
# anything for this long. A packet that is lost twice is sent a third time
# after 0.6 s.
STALL_S: typing.Final = 1.0

# If memory is limited, a response is broken off whose caller has read nothing
# for this long, so that its target isn't kept busy. Callers abandon a stream
# themselves after 6.4 s, and a whole request after 8.1 s.
UNREAD_TIMEOUT_S: typing.Final = 10.0

# A caller whose body is refused may go on sending it for this long, so that it
# reads the refusal: 4 MiB take 2.4 s at 14 Mbit/s.
REFUSAL_LINGER_S: typing.Final = 10.0

# Callers that were refused at the same moment are told to come back at
# different times, which differ by this much.
REFUSAL_RETRY_AFTER_S: typing.Final = 1.0
REFUSAL_RETRY_SPREAD_S: typing.Final = 1.0
REFUSAL_RETRY_STEPS: typing.Final = 16

# After a search for connections to close that released too little, the next
# one waits for this long: a search looks at all connections.
RELIEF_INTERVAL_S: typing.Final = 0.05

# Descriptors that are not for callers' connections and the calls made for
# them: 200 files, besides links, listening sockets and readiness checks.
RESERVED_DESCRIPTORS: typing.Final = 200 + 128

# At least this share of all descriptors is for callers.
MIN_CALLERS_SHARE: typing.Final = 0.25

# Near the limit of descriptors this share of it is freed at once, since each
# search looks at all connections.
DESCRIPTORS_FREED_SHARE: typing.Final = 1 / 32

# If memory is limited, the kernel's buffers of each connection are bounded to
# this in each direction (it doubles the value). By itself it holds up to 4 MiB
# of what is not read, of which the process knows nothing. At 14 Mbit/s and
# 3 ms there and back, 5 KB are under way.
SOCKET_BUFFER_BYTES: typing.Final = 128 * 1024
