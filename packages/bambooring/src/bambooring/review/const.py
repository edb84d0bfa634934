"""Define the exit codes of checks and the bounds of values."""

import typing

EXIT_NO_WARNINGS: typing.Final = 0
EXIT_WARNINGS: typing.Final = 1
EXIT_ERRORS: typing.Final = 2

# A token bucket that is full sooner loses tokens in ordinary pauses between
# requests, so that its account never reaches its rate.
MIN_BURST_S: typing.Final = 1.0

# Longer lists of names are cut in texts.
MAX_LISTED_NAMES: typing.Final = 5
