"""Define when a target is passed over and how load is shared."""

import typing

# A report of another instance's load is forgotten after this time.
PEER_LOAD_TTL_S: typing.Final = 1.5

# Loads are sent at most this often, and this often at least while any
# request runs or waits.
LOAD_REPORT_MIN_INTERVAL_S: typing.Final = 0.01
# A slot that becomes free is told a little later than one that is taken:
# late news of it only leave it empty for that long.
FREED_SLOT_REPORT_DELAY_S: typing.Final = 0.05
LOAD_REPORT_MAX_INTERVAL_S: typing.Final = 0.5

# Requests that a target may hold beyond its slots, so that a slot that
# becomes free is taken without a round trip.
EXTRA_REQUESTS_PER_TARGET: typing.Final = 1

# Slots that are assumed where a target doesn't tell.
DEFAULT_SLOTS_PER_TARGET: typing.Final = 4

# A target that failed gets no work for this long; doubled by each further
# failure up to the maximum, forgotten by an answer.
EJECTION_MIN_S: typing.Final = 0.5
EJECTION_MAX_S: typing.Final = 4.0

# Failures of their own that targets answer with belong to some requests;
# so many in a row speak against the target.
CONSECUTIVE_ERRORS_THRESHOLD: typing.Final = 3

# A busy target has just shown that it is full beyond what is known here.
BUSY_TARGET_BACKOFF_S: typing.Final = 0.1

# A service whose targets refused so many requests in a row, with none
# answered in between, takes nothing (its group is broken, or it is full);
# after a pause it is tried again.
CONSECUTIVE_REFUSALS_THRESHOLD: typing.Final = 3
SERVICE_BACKOFF_S: typing.Final = 0.3

# A group that its ranks call broken is offered a request this often all
# the same: the news that it has opened may not reach this instance.
BROKEN_GROUP_PROBE_INTERVAL_S: typing.Final = 1.0

# What is known of a group's slow ranks holds for this long.
SLOWDOWN_TTL_S: typing.Final = 3.0

# The requests that a target runs at once are limited while its streams
# pause for more than this share of what callers accept, and less so once
# they pause for less than the lower share.
GAP_HIGH_RATIO: typing.Final = 0.75
GAP_LOW_RATIO: typing.Final = 0.6
LIMIT_ADJUST_INTERVAL_S: typing.Final = 0.25
LIMIT_DECREMENT: typing.Final = 0.5
LIMIT_INCREMENT: typing.Final = 0.25
LIMIT_MIN: typing.Final = 2.0

# Weight of the newest sample in the mean duration of a service's requests.
DURATION_EWMA_WEIGHT: typing.Final = 0.05
DEFAULT_DURATION_S: typing.Final = 0.5
