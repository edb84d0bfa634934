"""Define thresholds and intervals of load balancing."""

import typing

# Requests that may be sent to a target beyond its slots, so that a slot that
# becomes free is filled without waiting for a round trip.
EXTRA_REQUESTS_PER_TARGET: typing.Final = 1

# Used for targets that don't report their number of slots.
DEFAULT_SLOTS_PER_TARGET: typing.Final = 4

# How many random targets the least loaded one is chosen from. With fewer,
# loads differ by chance; with many more, instances that choose within the
# delay of the load reports choose the same target.
CHOICE_SAMPLE_SIZE: typing.Final = 6

# A failed target is ejected for the minimum time. Each further failure
# doubles the time up to the maximum; a complete response resets it.
EJECTION_MIN_S: typing.Final = 0.5
EJECTION_MAX_S: typing.Final = 4.0

# A single server error may be caused by the request; this many in a row from
# one target count as a failure of the target.
CONSECUTIVE_ERRORS_THRESHOLD: typing.Final = 3

# A target that refuses a request as busy has more load than this instance
# knows of, so it gets no request for this long.
BUSY_TARGET_BACKOFF_S: typing.Final = 0.1

# When a service's targets refuse this many requests in a row and none of them
# starts a response in between, the service can take nothing: its model group
# is broken, or all targets are full. The service then gets no request for the
# backoff time, after which it is tried again.
CONSECUTIVE_REFUSALS_THRESHOLD: typing.Final = 3
SERVICE_BACKOFF_S: typing.Final = 0.3

# The longest rest that a target gets without being asked by a probe whether it
# still wants it. A time in a wrong unit must not exclude it for a day.
REST_MAX_S: typing.Final = 300.0

# How long after its rest a target waits for retries to spare before it is
# probed without them, so that it isn't left out for good.
PROBE_MAX_DELAY_S: typing.Final = 10.0

# How long a run that leaves is remembered after it has said so, if it isn't
# announced any more. Longer than announcements are kept without heartbeats.
LEAVING_RETENTION_S: typing.Final = 600.0

# A group that its ranks report as broken still gets a request this often,
# because the report that it is open again may not reach this instance.
BROKEN_GROUP_PROBE_INTERVAL_S: typing.Final = 1.0

# The slowdowns of a group's ranks are dropped if they aren't reported again
# within this time.
SLOWDOWN_TTL_S: typing.Final = 3.0

# The ratio of the mean gap between two events of a stream to the longest gap
# that callers accept. Above the high ratio the concurrency limit of the
# service's targets is lowered, below the low ratio it is raised.
GAP_HIGH_RATIO: typing.Final = 0.75
GAP_LOW_RATIO: typing.Final = 0.6
LIMIT_ADJUST_INTERVAL_S: typing.Final = 0.25
# After the limit was lowered it isn't lowered again for so many intervals: the
# streams that run go on, so the gaps follow with a delay.
LIMIT_SETTLING_INTERVALS: typing.Final = 3
# How many times an excess in the gaps is taken off the limit, and the factor
# by which the limit is lowered at most. About half of a pass takes the same
# time with few requests, so the gaps shrink by half as much as their number.
LIMIT_EXCESS_GAIN: typing.Final = 2.0
LIMIT_MIN_FACTOR: typing.Final = 0.6
# In requests per target.
LIMIT_INCREMENT: typing.Final = 0.25
LIMIT_MIN: typing.Final = 2.0

# After a restart the limit grows by this factor in each interval with gaps
# below the ratio: from 2 to 5 requests per target in 1 s instead of 3 s. One
# interval's growth lengthens a pass by less than the growth, so gaps stay
# below the high ratio.
RECOVERY_GROWTH: typing.Final = 1.3
GAP_RECOVERY_RATIO: typing.Final = 0.5
# For so many intervals after a restart requests that will be late leave room
# for those that can be on time. In this time answers must be on time again.
RECOVERY_INTERVALS: typing.Final = 8

# Weight of the newest sample in the moving average of a service's request
# durations, and the duration assumed before the first sample.
DURATION_EWMA_WEIGHT: typing.Final = 0.05
DEFAULT_DURATION_S: typing.Final = 0.5

# How many times longer a cold target is assumed to take for a request, where
# no lock-step group reports how slow it is.
COLD_SLOWDOWN: typing.Final = 1.5

# A target is treated as cold for this much longer than its announcement says.
# More than ``targets.const.COLD_TOLERANCE_S``, by which a remainder may grow
# without being announced again.
COLD_MARGIN_S: typing.Final = 0.5

# After a response said that a target is cold, an announcement that says it is
# warm doesn't count for this long: it may have been sent before the response.
COLD_STATEMENT_HOLD_S: typing.Final = 3.0

# An instance that knew a target as warm has sent requests without permits. It
# asks for permits once these don't count any more: after the second for which
# the limit holds, and the 0.4 s that connecting and sending may take. If a
# response said that the target is cold, the other instances learn it only from
# the next heartbeat, up to the news delay later.
COLD_AGAIN_DELAY_S: typing.Final = 1.4
COLD_NEWS_DELAY_S: typing.Final = 1.2

# A permit is not used if it expires within this time: connecting to a target
# in another failure domain would take longer.
PERMIT_RESERVE_S: typing.Final = 0.01

# One target is asked for permits no more often than this, and again without an
# answer after the timeout. An agent that gave no answer several times in a row
# is asked at the longer interval, and its target counts as no capacity.
PERMIT_ASK_INTERVAL_S: typing.Final = 0.05
PERMIT_ANSWER_TIMEOUT_S: typing.Final = 0.1
UNANSWERED_ASKS_LIMIT: typing.Final = 3
SILENT_AGENT_ASK_INTERVAL_S: typing.Final = 1.0

# How many targets without a permit are compared, to ask some of them.
DEMAND_TARGETS_MAX: typing.Final = 8

# How many targets are asked at the same time.
ASKED_TARGETS_MAX: typing.Final = 3

# Runs that take no new work are forgotten if more runs than this are known.
COLD_RUNS_MAX: typing.Final = 4096

# A target is ejected by others' word if this many other instances suspect it.
MIN_SUSPECTING_INSTANCES: typing.Final = 2

# A target that refuses this many requests of an instance in a row though it
# has room is suspected. A single refusal may come from load that the others
# haven't reported yet.
IDLE_REFUSALS_THRESHOLD: typing.Final = 3

# How long after its last failure a target is suspected without a complete
# response. Longer than the longest ejection, so that the two instances that
# probe a failing target keep up the suspicion for all others.
SUSPICION_TTL_S: typing.Final = 6.0

# How long others' word against a target counts for nothing after it completed
# a response. Longer than the TTL of load reports.
SOUND_RETENTION_S: typing.Final = 2.0

# What is added to the load per slot of a target that returns, as if all its
# slots were taken, and how fast it decays.
RETURN_PENALTY: typing.Final = 1.0
RETURN_PENALTY_HALF_LIFE_S: typing.Final = 1.0
RETURN_PENALTY_END_S: typing.Final = 5.0

# Changes of ejections by others' word that are kept until they are logged.
MAX_HEALTH_CHANGES: typing.Final = 64

# The one-way delay between two failure domains of a region. It is assumed, not
# measured at run time: the longest one in the known deployments.
DOMAIN_DELAY_S: typing.Final = 0.0014

# How often the share of a service that leaves a failure domain is computed,
# and how fast the share in use follows it.
SPILL_INTERVAL_S: typing.Final = 0.1
SPILL_TIME_CONSTANT_S: typing.Final = 0.3

# No request leaves by a share below the first, and none any more below the
# second: such shares come from the noise of the counts. Requests that find
# all slots taken leave all the same.
MIN_NEW_SHARE: typing.Final = 0.05
MIN_KEPT_SHARE: typing.Final = 0.02

# A share is logged when it has changed by this much.
MATERIAL_SHARE_CHANGE: typing.Final = 0.1
# Changes of shares that are kept until they are logged.
MAX_SHARE_CHANGES: typing.Final = 32

# Weight of the newest sample in the mean duration and size of requests.
SPILL_EWMA_WEIGHT: typing.Final = 0.1
# A failure domain counts as slow if its requests take this much longer.
MIN_SLOWNESS: typing.Final = 1.5

# Above this load per slot the wait for a slot grows linearly: each further
# request per slot adds the duration of one request.
SATURATED_LOAD: typing.Final = 0.95
# Bisection steps by which the load per slot that a failure domain keeps is
# found, to below a thousandth of a request per slot.
LEVEL_STEPS: typing.Final = 14

# A request that costs more than the mean by this factor leaves only if its own
# wait is worth it.
LARGE_PRICE_RATIO: typing.Final = 2.0

# Between targets of a model group another failure domain counts as this part
# of a request, and so do this many unread tokens. All of it together is less
# than a request, so it decides between ranks that are equally loaded and never
# adds a request to a rank.
GROUP_TIE_TOLERANCE: typing.Final = 0.1
GROUP_TIE_TOKENS: typing.Final = 2000
MAX_TIE_FACTOR: typing.Final = 3.0
