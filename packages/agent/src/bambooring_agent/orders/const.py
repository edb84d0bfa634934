"""Define the pace of a rank's reports and questions."""

import typing

REPORT_INTERVAL_S: typing.Final = 0.25
