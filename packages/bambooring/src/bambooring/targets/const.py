"""Define how long an announcement holds."""

import typing

# Heartbeats that a target may miss before it gets no new work. A heartbeat
# can be seconds late, and a target that died is found by its failures.
MISSED_HEARTBEATS_LIMIT: typing.Final = 4

# A record without heartbeats is kept this long, so that a late heartbeat of
# an earlier run can't bring back a target that is gone.
RECORD_RETENTION_S: typing.Final = 120.0
