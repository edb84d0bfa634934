"""Name the operators' paths, limits and exit codes."""

import typing

PATH_CHANGES: typing.Final = '/v1/changes'
PATH_RECORDS: typing.Final = '/v1/records'
PATH_STATUS: typing.Final = '/v1/status'
PATH_TARGETS: typing.Final = '/v1/targets/'

ACCEPT_TIMEOUT_S: typing.Final = 5.0
STATUS_WAIT_S: typing.Final = 0.5
STATUS_FRESH_S: typing.Final = 3.0
HTTP_TIMEOUT_S: typing.Final = 10.0
CONNECT_TIMEOUT_S: typing.Final = 2.0
POLL_INTERVAL_S: typing.Final = 0.2
RESEND_FOR_S: typing.Final = 20.0
DEFAULT_WAIT_S: typing.Final = 10.0

EXIT_FAILED: typing.Final = 1
EXIT_USAGE: typing.Final = 2
EXIT_CONFLICT: typing.Final = 3
EXIT_NOT_IN_FORCE: typing.Final = 4
EXIT_UNKNOWN: typing.Final = 5
EXIT_DIFFERENT: typing.Final = 6
