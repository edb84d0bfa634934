"""Define the intervals and limits of the exchange of load."""

import typing

# A peer's load report is ignored once it is older than this.
PEER_LOAD_TTL_S: typing.Final = 1.5

# Load reports are sent no more often than the minimum interval. While any
# request runs or waits here, one is sent at least every maximum interval.
LOAD_REPORT_MIN_INTERVAL_S: typing.Final = 0.01
# A freed slot is reported with this delay, a taken slot at once: a late
# report of a freed slot only leaves the slot empty for that long.
FREED_SLOT_REPORT_DELAY_S: typing.Final = 0.05
LOAD_REPORT_MAX_INTERVAL_S: typing.Final = 0.5

# Up to this many entry instances report to each other directly, which is the
# fastest way. Beyond it the reports of another failure domain come summed up.
MAX_DIRECT_INSTANCES: typing.Final = 32

# How often a relay sends the sum of its failure domain.
RELAY_INTERVAL_S: typing.Final = 0.05

# A relay that is silent for this long is replaced by the next instance.
RELAY_TIMEOUT_S: typing.Final = 2.5 * RELAY_INTERVAL_S

# How long an instance collects reports before it may act as the relay: each
# busy instance reports at least this often.
RELAY_WARM_UP_S: typing.Final = 0.6

# In each of this many summaries in a row a changed target is listed, so that
# the loss of some of them does no harm.
CHANGE_REPEATS: typing.Final = 4
# Every n-th summary is a full one, and so are the first ones of a relay.
FULL_SUMMARY_EVERY: typing.Final = 20
FIRST_FULL_SUMMARIES: typing.Final = 3

MAX_CACHED_KEYS: typing.Final = 8192

# Suspected targets that one report or summary lists, so that its size stays
# bounded. A report of 64 has about 2 kB.
MAX_SUSPICIONS: typing.Final = 64

# An instance that suspects more of a service's targets, or of those in one
# failure domain, is probably cut off from them or broken itself.
MAX_SUSPECTED_SHARE: typing.Final = 1 / 3
MAX_SUSPECTED_DOMAIN_SHARE: typing.Final = 1 / 2
