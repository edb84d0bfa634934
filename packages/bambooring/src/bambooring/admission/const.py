"""Define the reasons of refusals and the default time until a retry."""

import typing

# Used where the time until the request could be admitted isn't known.
DEFAULT_RETRY_AFTER_S: typing.Final = 1.0

REASON_ACCOUNT_IN_FLIGHT: typing.Final = 'account_in_flight'
REASON_ACCOUNT_RATE: typing.Final = 'account_rate'
REASON_INSTANCE_FULL: typing.Final = 'instance_full'
