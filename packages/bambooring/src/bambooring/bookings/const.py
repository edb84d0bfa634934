"""Define the limits of booking claims."""

import typing

RETENTION_S: typing.Final = 24 * 3600.0
RELEASED_RETENTION_S: typing.Final = 600.0
MAX_CLAIMS: typing.Final = 500_000
MAX_KEPT_BODY_BYTES: typing.Final = 64 * 1024
MAX_KEY_BYTES: typing.Final = 200
MAX_EXPIRED_PER_CLAIM: typing.Final = 16

CLAIM_TIMEOUT_S: typing.Final = 2.0
SETTLE_TIMEOUT_S: typing.Final = 3.0
RELEASE_TIMEOUT_S: typing.Final = 120.0
