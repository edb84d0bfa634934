"""Define limits and timeouts of booking claims."""

import typing

# How long a claim is kept after it is granted or settled.
RETENTION_S: typing.Final = 24 * 3600.0
# How long a released claim is kept, so that a late copy is not granted.
RELEASED_RETENTION_S: typing.Final = 600.0
MAX_CLAIMS: typing.Final = 500_000
# The body of a longer response is not recorded.
MAX_KEPT_BODY_BYTES: typing.Final = 64 * 1024
MAX_KEY_BYTES: typing.Final = 200
# Bounds the time that one claim takes in the state machine.
MAX_EXPIRED_PER_CLAIM: typing.Final = 16

# How long to try to commit each command.
CLAIM_TIMEOUT_S: typing.Final = 2.0
SETTLE_TIMEOUT_S: typing.Final = 3.0
RELEASE_TIMEOUT_S: typing.Final = 120.0
