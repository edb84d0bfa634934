"""Define the timing and the limits of replication."""

import typing

TICK_INTERVAL_S: typing.Final = 0.05
HEARTBEAT_INTERVAL_S: typing.Final = 0.15
ELECTION_TIMEOUT_S: typing.Final = 0.8
GREETING_INTERVAL_S: typing.Final = 0.5
RELOAD_INTERVAL_S: typing.Final = 2.0

APPEND_LIMIT_BYTES: typing.Final = 1024 * 1024
SNAPSHOT_CHUNK_BYTES: typing.Final = 256 * 1024
SNAPSHOT_AFTER_ENTRIES: typing.Final = 2000
SNAPSHOT_AFTER_BYTES: typing.Final = 2 * 1024 * 1024
CATCH_UP_MAX_LAG_ENTRIES: typing.Final = 16

FILE_IDENTITY: typing.Final = 'identity'
FILE_LOG: typing.Final = 'log'
FILE_SNAPSHOT: typing.Final = 'snapshot'
FILE_STATE: typing.Final = 'state'

# An open group of more voters than this drops one that is gone for good.
MIN_VOTERS: typing.Final = 3
# Longer than a cut or a restart usually takes; a voter that comes back
# later is taken in again.
REMOVE_VOTER_AFTER_S: typing.Final = 10.0
