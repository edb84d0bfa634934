"""Define how targets are weighed and retries bounded."""

import typing

SUBSET_SIZE: typing.Final = 16
SAMPLED_TARGETS: typing.Final = 2
LOAD_REPORT_HALF_LIFE_S: typing.Final = 1.0
FAILURE_PENALTY: typing.Final = 3.0
FAILURE_RATE_EWMA_WEIGHT: typing.Final = 0.2
FAILURE_RATE_HALF_LIFE_S: typing.Final = 5.0
PREFIX_AFFINITY_MARGIN: typing.Final = 0.25
OTHER_DOMAIN_PENALTY: typing.Final = 0.02

RETRY_BUDGET_RATIO: typing.Final = 0.1
RETRY_BUDGET_CAPACITY: typing.Final = 100.0
RETRY_BUDGET_INITIAL_TOKENS: typing.Final = 10.0
RETRY_BUDGET_REFILL_PER_S: typing.Final = 0.5
