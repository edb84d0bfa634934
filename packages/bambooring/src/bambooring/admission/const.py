"""Name the reasons of admission."""

import typing

REASON_ACCOUNT_IN_FLIGHT: typing.Final = 'account_in_flight'
REASON_ACCOUNT_RATE: typing.Final = 'account_rate'
REASON_INSTANCE_FULL: typing.Final = 'instance_full'
