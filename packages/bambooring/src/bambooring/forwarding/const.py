"""Define timeouts, limits and queue weights, and the reasons of errors."""

import enum
import typing

# Connecting to a target in another failure domain takes a few milliseconds;
# a lost packet is retransmitted after 200 ms at the earliest.
CONNECT_TIMEOUT_S: typing.Final = 0.3

# A request times out this much before the caller's deadline, so that the
# response still reaches the caller in time.
DEADLINE_MARGIN_S: typing.Final = 0.01

# A retryable request other than a stream is sent to another target if no
# response head arrives within this multiple of the route's first-byte
# objective.
SILENCE_TIMEOUT_OBJECTIVES: typing.Final = 1.5

# A request is not started with less time left than this share of the mean
# duration of its service's requests.
MIN_TIME_LEFT_SHARE: typing.Final = 0.5

# A stopping instance does not start a request with less time left than this
# multiple of the mean duration of its service's requests.
STOPPING_MIN_DURATIONS: typing.Final = 1.5

# The longest time that a request waits for a free slot, as a multiple of the
# mean duration of its service's requests.
MAX_WAIT_DURATIONS: typing.Final = 1.5

# A request that has waited longer than this share of its route's first-byte
# objective will be late; requests that can still be on time go before it.
LATE_OBJECTIVE_SHARE: typing.Final = 0.6

# An account or route goes first if the share of its requests that are served
# is below this fraction of the share over all requests. The value is twice
# the quarter below which no account or route may fall.
UNDERSERVED_SHARE: typing.Final = 0.5
FAIRNESS_HALF_LIFE_S: typing.Final = 5.0
# If there are more than FAIRNESS_MAX_KEYS accounts and routes, those without
# a result for FAIRNESS_EXPIRY_S are dropped.
FAIRNESS_EXPIRY_S: typing.Final = 60.0
FAIRNESS_MAX_KEYS: typing.Final = 4096

# Where routes differ in priority, an account, route or subject goes before
# more urgent requests only if its share is below this fraction of all: above
# the quarter that it must get, but little, so that a less urgent route whose
# demand surges doesn't go before the urgent ones.
STARVED_SHARE: typing.Final = 0.27
# The same for the largest prompts of a route, of which half must be served.
STARVED_SIZE_SHARE: typing.Final = 0.65
# So many requests with the mean share are added to those of a key, since few
# requests of its own say little.
FAIRNESS_PRIOR_COUNT: typing.Final = 2.0
# The half-life of the counts by which these shares are computed. In a shorter
# time an instance gets too few requests.
ORDERED_HALF_LIFE_S: typing.Final = 20.0
# How long the result of the check whether a waiting request is starved is
# used again.
SHARES_VALID_S: typing.Final = 0.1
# The number of subjects isn't bounded: they are hashed into so many buckets.
SUBJECT_BUCKETS: typing.Final = 512

# The quantiles of a route's prompt sizes and time limits are computed over a
# window of values, and again after some more of them.
QUANTILE_WINDOW: typing.Final = 256
QUANTILE_UPDATE_EVERY: typing.Final = 32
QUANTILE_MIN_VALUES: typing.Final = 20
LARGE_FROM_SHARE: typing.Final = 0.7
LARGEST_FROM_SHARE: typing.Final = 0.9
# First attempts have the most time left, and retries some seconds less. If
# this share of requests has as much time as the highest ones, up to the
# tolerance, it is the time limit of all first attempts.
USUAL_TIME_SHARE: typing.Final = 0.9
COMMON_TIME_SHARE: typing.Final = 0.6
COMMON_TIME_TOLERANCE: typing.Final = 0.01
QUANTILES: typing.Final = (
    LARGE_FROM_SHARE,
    LARGEST_FROM_SHARE,
    USUAL_TIME_SHARE,
    COMMON_TIME_SHARE,
)
# A caller comes back after at least half of the shortest Retry-After.
RETURNING_MIN_S: typing.Final = 0.1

# A request waits no longer than this share of its caller's time. From an
# eighth on a refusal costs the caller more the longer it was held.
HELD_TIME_SHARE: typing.Final = 0.12
# A request that waits already is refused if the estimate exceeds its limit by
# this factor.
RECHECK_SLACK: typing.Final = 1.5
# An estimated wait assumes that more urgent requests leave at least this share
# of the slots, so that it stays finite.
MIN_LEFT_SHARE: typing.Final = 0.05
# With fewer slots taken and nothing waiting no request is refused.
IDLE_SLOTS_SHARE: typing.Final = 0.5
# Callers honour a Retry-After up to a third of their time; the clocks and the
# network take some of it.
MAX_RETRY_TIME_SHARE: typing.Final = 0.3
# Weight of the newest request in the share that each urgency takes.
DISPATCH_EWMA_WEIGHT: typing.Final = 0.05

# A freed slot is left to more urgent requests at other instances for no
# longer than this: two intervals of the relays between failure domains.
HOLD_BACK_MAX_S: typing.Final = 0.15
# An instance may fill the slot that one of its requests has left for this long
# without a draw. A load report takes longer to reach the others.
OWN_SLOT_S: typing.Final = 0.002
# How long the measured room at all targets is used again, unless this instance
# changes it: as long as load reports take to arrive.
ROOM_VALID_S: typing.Final = 0.002
# After a lost draw for one of too few free slots an instance draws again after
# this time: by then it knows from load reports whether the slot was taken.
SLOT_DRAW_INTERVAL_S: typing.Final = 0.05
# After an outage, requests that will be late leave this share of the slots to
# those that can be on time.
RECOVERY_ON_TIME_SHARE: typing.Final = 0.5
# Where the order counts, late requests go after all that can be on time for
# this long after the recovery: until those come back that were refused in it.
BACKLOG_S: typing.Final = 2.5
# They leave this share of the slots, about the usual variation of the load.
BACKLOG_ON_TIME_SHARE: typing.Final = 0.15
# What is added to the urgency of such requests, so that they go after most
# others also at other instances.
BACKLOG_URGENCY_STEP: typing.Final = 5

# The waiting time that one step of priority counts for in the queue order.
ACCOUNT_PRIORITY_STEP_S: typing.Final = 0.3
ROUTE_PRIORITY_STEP_S: typing.Final = 0.1

# While requests wait at other instances too, an instance takes its share of
# the free slots once in this time. Load reports need about as long to arrive,
# also by the relays of the failure domains.
SLOT_ROUND_S: typing.Final = 0.05

# Queued requests are checked at this interval if no other event leads to it.
QUEUE_POLL_INTERVAL_S: typing.Final = 0.02

# Responses up to this size are buffered until they are complete, so that the
# request can be retried at another target if the response breaks off.
MAX_BUFFERED_BODY_BYTES: typing.Final = 128 * 1024

# A stream that goes on for this long after its first event clears those parts
# of its prompt that were answered before.
STREAM_PROGRESS_S: typing.Final = 0.5

# The parts of a prompt that a log line lists.
MAX_LOGGED_PARTS: typing.Final = 8

# A stream whose target sends more than this without the end of an event is
# broken off. An instance has to have room for it once for each of its streams.
MAX_EVENT_BYTES: typing.Final = 64 * 1024

# A stream that has begun and can be resumed goes on at another target if it
# gets no event for this share of the time after which callers give it up,
# while streams of the same service at other targets get some.
STREAM_STALL_SHARE: typing.Final = 0.5

# How often a request is tried again after attempts that provably did not run
# it. The service pauses between them, so together they span a short outage.
MAX_REFUSED_ATTEMPTS: typing.Final = 5

# Callers give up a stream that sends nothing for this long, or for this
# multiple of the route's first-byte objective or of its longest gap between
# two events, whichever is the longest.
STREAM_IDLE_TIMEOUT_S: typing.Final = 2.0
STREAM_IDLE_OBJECTIVES: typing.Final = 4
STREAM_IDLE_GAPS: typing.Final = 8
# The share of that time which may be spent waiting for a free slot.
STREAM_WAIT_SHARE: typing.Final = 0.8

# How often a request is tried again at other targets after some that asked for
# a rest. Each refuses once in its rest, so more of them than of the above may
# refuse one request before it meets one that serves it.
MAX_RESTING_ATTEMPTS: typing.Final = 20

RETRY_AFTER_MIN_S: typing.Final = 0.2
RETRY_AFTER_MAX_S: typing.Final = 2.0
# It is unknown how long an outage of a whole service lasts. A caller is asked
# to wait for this share of its remaining time, which leaves it time for a
# response after the retry.
OUTAGE_RETRY_AFTER_SHARE: typing.Final = 0.33
# Retries are spread over this last part of that time.
OUTAGE_RETRY_SPREAD: typing.Final = 0.15
# An instance that has just started knows a policy within this time.
POLICY_RETRY_AFTER_S: typing.Final = 1.0
# A request that a stopping instance refuses can be sent to another instance at
# once.
STOPPING_RETRY_AFTER_S: typing.Final = 0.05
# While a model group is known to be broken, a request with more than this
# share of its route's timeout left is told at once to retry later. With less
# time left the caller will hardly retry, so the request waits for as long as
# it may.
RETRY_LATER_TIME_SHARE: typing.Final = 0.75


# Callers take these for a promise that the request has not run and won't, and
# may repeat any request.
NOT_RUN_STATUSES: typing.Final = (408, 421, 429, 503)


class Reason(enum.StrEnum):
    """Why a request got an error response or no complete response.

    The values appear in response bodies, log lines and metric labels.
    """

    MALFORMED = 'malformed'
    DECODER_FAULT = 'decoder_fault'
    NO_ROUTE = 'no_route'
    UNKNOWN_KEY = 'unknown_key'
    NO_REGION = 'no_region'
    NO_POLICY = 'no_policy'
    NO_LEASE = 'no_lease'
    NO_TARGET = 'no_target'
    OVERLOAD = 'overload'
    TOO_LATE = 'too_late'
    TARGET_REFUSED = 'target_refused'
    GROUP_BROKEN = 'group_broken'
    TARGETS_REST = 'targets_rest'
    TARGET_FAILED = 'target_failed'
    SUSPECT = 'suspect'
    TIMEOUT = 'timeout'
    STREAM_BROKEN = 'stream_broken'
    CALLER_LEFT = 'caller_left'
    STOPPING = 'stopping'
