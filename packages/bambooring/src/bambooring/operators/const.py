"""Name the operators' paths, limits and exit codes."""

import typing

PATH_CHANGES: typing.Final = '/v1/changes'
PATH_RECORDS: typing.Final = '/v1/records'
PATH_STATUS: typing.Final = '/v1/status'
PATH_TARGETS: typing.Final = '/v1/targets/'

REPLY_TIMEOUT_S: typing.Final = 5.0
STATUS_COLLECT_S: typing.Final = 0.5
REPORT_MAX_AGE_S: typing.Final = 3.0
HTTP_TIMEOUT_S: typing.Final = 10.0
CONNECT_TIMEOUT_S: typing.Final = 2.0
POLL_INTERVAL_S: typing.Final = 0.2
CHANGE_TIMEOUT_S: typing.Final = 20.0
DEFAULT_IN_FORCE_TIMEOUT_S: typing.Final = 10.0

EXIT_FAILED: typing.Final = 1
EXIT_USAGE: typing.Final = 2
EXIT_CONFLICT: typing.Final = 3
EXIT_NOT_IN_FORCE: typing.Final = 4
EXIT_OUTCOME_UNKNOWN: typing.Final = 5
EXIT_DIFFERENCES: typing.Final = 6
