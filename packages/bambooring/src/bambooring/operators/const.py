"""Define the paths of the operators' API, timeouts and exit codes."""

import typing

PATH_CHANGES: typing.Final = '/v1/changes'
PATH_RECORDS: typing.Final = '/v1/records'
PATH_STATUS: typing.Final = '/v1/status'
PATH_TARGETS: typing.Final = '/v1/targets/'
PATH_EVACUATIONS: typing.Final = '/v1/evacuations/'

# Time that a control replica has to reply to a request of the API.
REPLY_TIMEOUT_S: typing.Final = 5.0
# How long a replica collects the replies to a status query.
STATUS_COLLECT_S: typing.Final = 0.5
# The status omits entry instances whose last report is older.
REPORT_MAX_AGE_S: typing.Final = 3.0
HTTP_TIMEOUT_S: typing.Final = 10.0
CONNECT_TIMEOUT_S: typing.Final = 2.0
# Delay between polls of the status and between attempts to send a change.
POLL_INTERVAL_S: typing.Final = 0.2
# How long a client resends a change whose outcome is not known.
CHANGE_TIMEOUT_S: typing.Final = 20.0
# How long a client resends an order of an evacuation.
EVACUATION_TIMEOUT_S: typing.Final = 10.0
DEFAULT_IN_FORCE_TIMEOUT_S: typing.Final = 10.0

EXIT_FAILED: typing.Final = 1
EXIT_USAGE: typing.Final = 2
EXIT_CONFLICT: typing.Final = 3
EXIT_NOT_IN_FORCE: typing.Final = 4
EXIT_OUTCOME_UNKNOWN: typing.Final = 5
EXIT_DIFFERENCES: typing.Final = 6
