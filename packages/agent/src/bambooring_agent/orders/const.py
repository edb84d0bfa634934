"""Define how often a rank reports and repeats its queries."""

import typing

REPORT_INTERVAL_S: typing.Final = 0.25
