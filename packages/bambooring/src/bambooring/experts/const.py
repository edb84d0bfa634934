"""Define the pace of a switch and the planner's weights."""

import typing

SWITCH_TIMEOUT_S: typing.Final = 10.0
RESEND_INTERVAL_S: typing.Final = 0.3
ARM_MARGIN_STEPS: typing.Final = 60
REPORT_MAX_AGE_S: typing.Final = 2.0
MAX_DECISIONS: typing.Final = 1000

HORIZON_STEPS: typing.Final = 20_000
MOVE_COST_STEPS: typing.Final = 12.0
MAX_CHANGES_PER_LAYER: typing.Final = 400
TARGET_MAX_TO_MEAN: typing.Final = 1.04
REPLAN_MAX_TO_MEAN: typing.Final = 1.06

# Reports older than this don't count.
STATE_MAX_AGE_S: typing.Final = 1.5
# Passes between the last one known and the one that is switched at.
HOLD_MARGIN_STEPS: typing.Final = 2
# A switch must shorten the passes by this factor at least.
MIN_SPEEDUP: typing.Final = 1.12
PREPARE_TIMEOUT_S: typing.Final = 4.0
# A rank copies experts one after the other, and all ranks wait for the last
# one. What is left over goes into the next switch.
MAX_COPY_TIME_S: typing.Final = 0.25
# An order that has no answer by then counts as unknown.
ANSWER_TIMEOUT_S: typing.Final = 0.4
# An order without an answer is given again, up to so many times in all. In
# a large group some answer is nearly always missing.
MAX_ORDER_ATTEMPTS: typing.Final = 5
# A hold that nobody has released by then is cleared up.
STRAY_HOLD_TIMEOUT_S: typing.Final = 0.6
# After a switch the next one waits for new demand; after a failed one the
# cause may last.
PLAN_PAUSE_S: typing.Final = 0.4
# A switch that copied as much as it may is followed by the next one.
PLAN_PAUSE_AFTER_PARTIAL_S: typing.Final = 0.05
PLAN_PAUSE_AFTER_FAILURE_S: typing.Final = 1.0
# A pass that began before the hold came is given up for a later one, this
# many times.
MAX_HOLD_ATTEMPTS: typing.Final = 4
# Passes that may be held are told apart by the term modulo this.
HOLD_STEP_MODULUS: typing.Final = 4
# Versions rise with the term, so that a later leader's are higher.
VERSIONS_PER_TERM: typing.Final = 1000
