"""Define how long targets are kept without heartbeats."""

import typing

# Heartbeats that may be missing before a target gets no new work. The limit
# is generous, since a heartbeat can be seconds late and a target that died is
# detected by its failing requests.
MISSED_HEARTBEATS_LIMIT: typing.Final = 4

# A record is kept this long without heartbeats, so that a late heartbeat of
# an earlier run can't bring back a target that is gone.
RECORD_RETENTION_S: typing.Final = 120.0

# The end of a target's cold time is computed from the arrival of its
# announcements, so it varies with their delays. An end that is later by no
# more than this is no change.
COLD_TOLERANCE_S: typing.Final = 0.25
