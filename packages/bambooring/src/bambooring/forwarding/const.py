"""Define the timing of attempts and the reasons that are counted."""

import enum
import typing

# A target in another failure domain answers a new channel in a few
# milliseconds; a packet that is lost is sent again after 200 ms at least.
CONNECT_TIMEOUT_S: typing.Final = 0.3

# A caller's deadline is met this much early, so that the answer arrives.
DEADLINE_MARGIN_S: typing.Final = 0.01

# A repeatable request without an answer is tried elsewhere after so many
# times the route's objective.
SILENCE_TIMEOUT_OBJECTIVES: typing.Final = 1.5

# A request is not begun with less time than this share of the mean time
# that its service's requests take.
MIN_TIME_LEFT_SHARE: typing.Final = 0.5

# The longest that a request waits for a free slot, as a multiple of the
# mean time that the service's requests take.
MAX_WAIT_DURATIONS: typing.Final = 1.5

# A request that has waited for more than this share of its objective will
# be late; those that can still be on time go before it.
LATE_OBJECTIVE_SHARE: typing.Final = 0.6

# Whoever gets less than this share of the answers that all get goes first;
# twice the quarter below which nobody may fall.
UNDERSERVED_SHARE: typing.Final = 0.5
FAIRNESS_HALF_LIFE_S: typing.Final = 5.0
FAIRNESS_EXPIRY_S: typing.Final = 60.0
FAIRNESS_MAX_KEYS: typing.Final = 4096

# Each step of priority is worth so much waiting.
ACCOUNT_PRIORITY_STEP_S: typing.Final = 0.3
ROUTE_PRIORITY_STEP_S: typing.Final = 0.1

# How often waiting requests are looked at without another event.
QUEUE_POLL_INTERVAL_S: typing.Final = 0.02

# Answers up to this size are held until they are whole, so that a broken
# one can be tried elsewhere.
MAX_BUFFERED_BODY_BYTES: typing.Final = 256 * 1024

# Further offers of a request after refusals that prove that it has not
# run. Between them the service pauses, so they span a short outage.
MAX_REFUSED_ATTEMPTS: typing.Final = 5

# Callers give up a stream that sends nothing for this long; a few times
# the objective or the longest pause where that is more.
STREAM_IDLE_TIMEOUT_S: typing.Final = 2.0
STREAM_IDLE_OBJECTIVES: typing.Final = 4
STREAM_IDLE_GAPS: typing.Final = 8
# The part of that patience which may be spent waiting for a slot.
STREAM_WAIT_SHARE: typing.Final = 0.8

RETRY_AFTER_MIN_S: typing.Final = 0.2
RETRY_AFTER_MAX_S: typing.Final = 2.0
# While a whole service is out, nobody knows for how long; a caller is asked
# to wait for this share of its time, which leaves it time for an answer.
OUTAGE_RETRY_AFTER_SHARE: typing.Final = 0.33
# While a group is known to be broken, a request with more than this share
# of its route's time left is told at once to come back; with less, its
# caller will hardly come again, so it waits for as long as it may.
RETRY_LATER_TIME_SHARE: typing.Final = 0.75


class Reason(enum.StrEnum):
    """Say why a request is refused or given up."""

    MALFORMED = 'malformed'
    NO_ROUTE = 'no_route'
    UNKNOWN_KEY = 'unknown_key'
    NO_POLICY = 'no_policy'
    NO_LEASE = 'no_lease'
    NO_TARGET = 'no_target'
    OVERLOAD = 'overload'
    TOO_LATE = 'too_late'
    TARGET_REFUSED = 'target_refused'
    GROUP_BROKEN = 'group_broken'
    TARGET_FAILED = 'target_failed'
    TIMEOUT = 'timeout'
    STREAM_BROKEN = 'stream_broken'
    CALLER_LEFT = 'caller_left'
    STOPPING = 'stopping'
