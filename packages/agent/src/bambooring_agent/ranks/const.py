"""Define how often the engine of a rank is polled, and the timeout."""

import typing

STATE_POLL_INTERVAL_S: typing.Final = 0.6
# While the group is broken the state is polled at this interval: when it
# opens, all its callers wait for a fitting map. Unchanged states are still
# reported at the interval above.
BROKEN_POLL_INTERVAL_S: typing.Final = 0.1
# During a switch the coordinator's next step waits for the rank's state, so it
# is polled at this interval, for at most SWITCH_POLL_LIMIT_S after an order.
SWITCH_POLL_INTERVAL_S: typing.Final = 0.08
SWITCH_POLL_LIMIT_S: typing.Final = 4.0

# How often a rank reads its counts. In groups of more ranks than this, only a
# part of them reports at each reading, so that the leader gets no more reports
# in a second; what a report has is as new as in a small group.
COUNTS_POLL_INTERVAL_S: typing.Final = 0.35
REPORTING_RANKS: typing.Final = 48

# The engine is on the same machine. An order without a response by then may
# still be carried out seconds later.
CALL_TIMEOUT_S: typing.Final = 0.15
