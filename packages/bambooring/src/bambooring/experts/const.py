"""Define the pace of a switch and the planner's weights."""

import typing

SWITCH_TIMEOUT_S: typing.Final = 10.0
RESEND_S: typing.Final = 0.3
MARGIN_STEPS: typing.Final = 60
REPORT_FRESH_S: typing.Final = 2.0
DECISIONS_KEPT: typing.Final = 1000

HORIZON_STEPS: typing.Final = 20_000
MOVE_COST_STEPS: typing.Final = 12.0
SEARCH_LIMIT: typing.Final = 400
TARGET_RATIO: typing.Final = 1.04
RESTART_RATIO: typing.Final = 1.06

# Reports older than this don't count.
FRESH_S: typing.Final = 1.5
# Passes between the last one known and the one that is switched at.
HOLD_MARGIN_STEPS: typing.Final = 2
# A switch must shorten the passes by this factor at least.
LEAST_GAIN: typing.Final = 1.12
PREPARE_TIMEOUT_S: typing.Final = 4.0
# A rank copies experts one after the other, and all ranks wait for the last
# one. What is left over goes into the next switch.
COPY_TIME_S: typing.Final = 0.25
# An order that has no answer by then counts as unknown.
ANSWER_TIMEOUT_S: typing.Final = 0.4
# An order without an answer is given again, up to so many times in all. In
# a large group some answer is nearly always missing.
ORDER_TRIES: typing.Final = 5
# A hold that nobody has released by then is cleared up.
STRAY_HOLD_S: typing.Final = 0.6
# After a switch the next one waits for new demand; after a failed one the
# cause may last.
PAUSE_S: typing.Final = 0.4
# A switch that copied as much as it may is followed by the next one.
PARTIAL_PAUSE_S: typing.Final = 0.05
BACK_OFF_S: typing.Final = 1.0
# A pass that began before the hold came is given up for a later one, this
# many times.
HOLD_TRIES: typing.Final = 4
# Passes that may be held are told apart by the term modulo this.
STEP_RESIDUES: typing.Final = 4
# Versions rise with the term, so that a later leader's are higher.
VERSIONS_PER_TERM: typing.Final = 1000
