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
