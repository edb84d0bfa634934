"""Define how targets are weighed and retries bounded."""

import typing

SUBSET_SIZE: typing.Final = 16
CHOICES: typing.Final = 2
REPORT_HALF_LIFE_S: typing.Final = 1.0
FAILURE_PENALTY: typing.Final = 3.0
FAILURE_WEIGHT: typing.Final = 0.2
FAILURE_HALF_LIFE_S: typing.Final = 5.0
AFFINITY_MARGIN: typing.Final = 0.25
OTHER_DOMAIN_PENALTY: typing.Final = 0.02

RETRY_RATIO: typing.Final = 0.1
RETRY_BUDGET_LIMIT: typing.Final = 100.0
RETRY_BUDGET_START: typing.Final = 10.0
RETRY_BUDGET_PER_S: typing.Final = 0.5
