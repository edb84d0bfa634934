"""Define the timeouts, limits and file names of replication."""

import typing

TICK_INTERVAL_S: typing.Final = 0.05
HEARTBEAT_INTERVAL_S: typing.Final = 0.15
# Election deadlines are drawn from one to two times this.
ELECTION_TIMEOUT_S: typing.Final = 0.8
GREETING_INTERVAL_S: typing.Final = 0.5
# How long a voter that ends waits to be taken out of a group that can do
# without it.
LEAVE_TIMEOUT_S: typing.Final = 4.0
LEAVE_POLL_INTERVAL_S: typing.Final = 0.1
# Time between attempts to load the data folder after a failed write. Another
# replica's disk may fail next, and only two of three may be missing then.
RELOAD_INTERVAL_S: typing.Final = 0.25

APPEND_LIMIT_BYTES: typing.Final = 1024 * 1024
SNAPSHOT_CHUNK_BYTES: typing.Final = 256 * 1024
SNAPSHOT_AFTER_ENTRIES: typing.Final = 2000
SNAPSHOT_AFTER_BYTES: typing.Final = 2 * 1024 * 1024
# A follower is caught up if it lacks at most this many committed entries.
CATCH_UP_MAX_LAG_ENTRIES: typing.Final = 16

FILE_IDENTITY: typing.Final = 'identity'
FILE_LOG: typing.Final = 'log'
FILE_SNAPSHOT: typing.Final = 'snapshot'
FILE_STATE: typing.Final = 'state'
