"""Define the limits of booking claims."""

import typing

RETENTION_S: typing.Final = 24 * 3600.0
RELEASED_KEPT_S: typing.Final = 600.0
CLAIMS_LIMIT: typing.Final = 500_000
BODY_LIMIT_BYTES: typing.Final = 64 * 1024
KEY_LIMIT_BYTES: typing.Final = 200
EXPIRE_BATCH: typing.Final = 16

CLAIM_TIMEOUT_S: typing.Final = 2.0
SETTLE_TIMEOUT_S: typing.Final = 3.0
RELEASE_TIMEOUT_S: typing.Final = 120.0
