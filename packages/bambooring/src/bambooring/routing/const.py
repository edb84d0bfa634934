"""Define how targets are compared and how retries are limited."""

import typing

# Targets of a service that an entry instance keeps links to.
SUBSET_SIZE: typing.Final = 16
# Targets drawn at random for each choice, of which the lightest is taken.
SAMPLED_TARGETS: typing.Final = 2
# The load of other instances, as last reported by a target, loses half of its
# weight in this time.
LOAD_REPORT_HALF_LIFE_S: typing.Final = 1.0
# Weight added to a target whose attempts all fail, in attempts per slot; less
# in proportion to the failure rate.
FAILURE_PENALTY: typing.Final = 3.0
FAILURE_RATE_EWMA_WEIGHT: typing.Final = 0.2
FAILURE_RATE_HALF_LIFE_S: typing.Final = 5.0
# A prompt prefix stays at its preferred target while that target is heavier
# than the best choice by no more than this, in attempts per slot.
PREFIX_AFFINITY_MARGIN: typing.Final = 0.25
# Weight added to targets of other failure domains, in attempts per slot.
OTHER_DOMAIN_PENALTY: typing.Final = 0.02

# Tokens added to the retry budget at each deposit; a retry costs one token.
RETRY_BUDGET_RATIO: typing.Final = 0.1
RETRY_BUDGET_CAPACITY: typing.Final = 100.0
RETRY_BUDGET_INITIAL_TOKENS: typing.Final = 10.0
RETRY_BUDGET_REFILL_PER_S: typing.Final = 0.5

# The part of its capacity that the budget keeps for requests that failed, when
# others would spend retries to find out more about targets.
RETRY_RESERVE_SHARE: typing.Final = 0.5

# The part of the shared retries that may be spent at once; the rest is
# refilled over the window.
BURST_SHARE: typing.Final = 0.5
