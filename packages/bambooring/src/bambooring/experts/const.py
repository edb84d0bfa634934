"""Define the timing of map switches and the limits of planning."""

import typing

# Two-phase commit of switches, in ``switch`` and ``state``.

# An undecided switch is aborted after this time.
SWITCH_TIMEOUT_S: typing.Final = 10.0
# Unanswered orders, and proposals to abort a late switch, are repeated at this
# interval.
RESEND_INTERVAL_S: typing.Final = 0.3
# The step to arm for lies this far ahead of the latest reported step.
ARM_MARGIN_STEPS: typing.Final = 60
# A switch begins only if every rank's report is newer than this.
REPORT_MAX_AGE_S: typing.Final = 2.0
# Control replicas keep this many decisions and drop the oldest ones.
MAX_DECISIONS: typing.Final = 1000

# Planning of single layers, in ``planner``.

# A move must pay for itself within this many steps.
HORIZON_STEPS: typing.Final = 20_000
# What one move costs, in steps of mean duration.
MOVE_COST_STEPS: typing.Final = 12.0
# Bounds the number of changes in one plan.
MAX_CHANGES_PER_LAYER: typing.Final = 400
# Up to this ratio of the slowest rank's time to the mean, a layer counts as
# balanced.
TARGET_MAX_TO_MEAN: typing.Final = 1.04
# Above this ratio after all single changes, a plan from scratch is tried too.
REPLAN_MAX_TO_MEAN: typing.Final = 1.06

# Switching the maps of running groups, in ``rebalancing``.

# Reports of ranks that are older than this don't count.
STATE_MAX_AGE_S: typing.Final = 1.5
# The step to hold, at which the map changes, lies at least this far ahead of
# the latest known step.
HOLD_MARGIN_STEPS: typing.Final = 2
# A switch must shorten the passes by this factor at least.
MIN_SPEEDUP: typing.Final = 1.12
# A switch that some rank hasn't prepared by then is given up.
PREPARE_TIMEOUT_S: typing.Final = 4.0
# Limits what one switch copies to a rank. A rank copies its experts one after
# the other, and all ranks wait for the last one to finish. Copies
# beyond the limit are deferred to the next switch.
MAX_COPY_TIME_S: typing.Final = 0.25
# The outcome of an order that has no answer by then counts as unknown.
ANSWER_TIMEOUT_S: typing.Final = 0.4
# While a group is held, an order without an answer is relayed by the agent of
# another rank after this time, if nothing was heard from the rank's own agent
# since it was sent.
RELAY_DELAY_S: typing.Final = 0.1
# An order without an answer is resent, up to this many attempts in all. In a
# large group some answer is nearly always missing.
MAX_ORDER_ATTEMPTS: typing.Final = 5
# A hold that has not been released within this time is cleared as stray.
STRAY_HOLD_TIMEOUT_S: typing.Final = 0.6
# After a plan or a switch, the next plan waits for new demand.
PLAN_PAUSE_S: typing.Final = 0.4
# A switch that copied as much as it may is soon followed by the next one.
PLAN_PAUSE_AFTER_PARTIAL_S: typing.Final = 0.05
# The cause of a failed switch may last, so the next plan waits longer.
PLAN_PAUSE_AFTER_FAILURE_S: typing.Final = 1.0
# If the pass to hold has begun before the hold arrives, a later one is
# chosen, up to this many attempts in all.
MAX_HOLD_ATTEMPTS: typing.Final = 4
# Modulo this, a held step is congruent to the leader's term, which tells the
# holds of different terms apart.
HOLD_STEP_MODULUS: typing.Final = 4
# Versions of maps start at the term times this, so that those of a later
# leader are higher.
VERSIONS_PER_TERM: typing.Final = 1000
