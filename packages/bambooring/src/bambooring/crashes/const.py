"""Define when a possible cause is quarantined, and what is kept of crashes."""

import typing

# How many outages without an answer in between make a part suspect that has
# been answered before. Requests that share it run all the time, so a few
# targets that are lost for other reasons have some of them on board.
ANSWERED_PART_OUTAGE_LIMIT: typing.Final = 3
# A part that was never answered is suspect after one.
NEW_PART_OUTAGE_LIMIT: typing.Final = 1
# A whole request is tried once more elsewhere: most of those on board of a
# crashed target are sound.
REQUEST_CRASH_LIMIT: typing.Final = 2

# Crashes within this time count as one outage: of an answered part, because
# nothing that shares it may be answered before the targets are back; of a new
# one, because requests with it were sent to several targets before the first
# crash was known.
ANSWERED_PART_OUTAGE_S: typing.Final = 5.0
NEW_PART_OUTAGE_S: typing.Final = 1.0

# The first quarantine of a cause. A probe that crashes one rank of
# a model group stops all of its callers, so a suspect waits longer there.
TARGET_QUARANTINE_S: typing.Final = 2.0
GROUP_QUARANTINE_S: typing.Final = 30.0
# A cause that crashed targets again after its quarantine.
LATER_QUARANTINE_S: typing.Final = 300.0

# Until an instance has seen answers for this long, most parts are new to it.
HISTORY_MIN_S: typing.Final = 3.0

# After a quarantine one probe is sent at a time. Without a result the next one
# may be sent after this time.
PROBE_TIMEOUT_S: typing.Final = 5.0

# A crash is forgotten after this time; a quarantine and the probe after it
# must have ended before.
CRASH_TTL_S: typing.Final = 900.0
MAX_CRASHES: typing.Final = 256
MAX_SUSPECTS_PER_CRASH: typing.Final = 64
MAX_ANSWERED_PARTS: typing.Final = 8192

# A target on the same network accepts or refuses within milliseconds.
CHECK_TIMEOUT_S: typing.Final = 0.1
