"""Define the timing of gateway processes."""

import typing

# How often an entry instance asks for proof that its policy is the newest.
LEASE_REQUEST_INTERVAL_S: typing.Final = 0.8

# Questions that come within this time are put to the log together.
LEASE_BATCH_DELAY_S: typing.Final = 0.1
CONSULT_TIMEOUT_S: typing.Final = 1.5

# The part of the bound on revoked keys that a lease may last; the rest is
# for the way from the check to the target.
LEASE_DURATION_SHARE: typing.Final = 0.9

PUBLISH_TIMEOUT_S: typing.Final = 3.0
READ_TIMEOUT_S: typing.Final = 2.0

# Heartbeats without news are passed on together, this often.
UPDATE_INTERVAL_S: typing.Final = 0.6

# How long the confirmation of a leaving target waits for the entry
# instances to say that they know.
CONFIRMATION_TIMEOUT_S: typing.Final = 0.4

EXPIRY_INTERVAL_S: typing.Final = 0.5

# A stopping entry instance is told out of rotation by two missed checks a
# second apart; until then new channels come in.
STOP_ACCEPT_S: typing.Final = 2.6

# Idle channels are closed before the process ends, so that no request
# crosses the close.
STOP_IDLE_TIMEOUT_S: typing.Final = 0.3

# What is still running this long before the process is killed is ended.
STOP_RESERVE_S: typing.Final = 0.7

# Share of the group's bound on repeated requests that all instances
# together may use, because each counts by itself.
RETRY_BUDGET_SHARE: typing.Final = 0.5

MAX_LOAD_DATAGRAM_BYTES: typing.Final = 60000
READY_BODY_BYTES: typing.Final = 1024
