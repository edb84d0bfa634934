"""Define how often a rank is looked at."""

import typing

STATE_POLL_INTERVAL_S: typing.Final = 0.6
# While a switch is under way its steps wait for the state.
SWITCH_POLL_INTERVAL_S: typing.Final = 0.08
SWITCH_POLL_LIMIT_S: typing.Final = 4.0

COUNTS_POLL_INTERVAL_S: typing.Final = 0.35

# The engine is on the same machine; an order without an answer by then may
# be obeyed seconds later.
CALL_TIMEOUT_S: typing.Final = 0.15
