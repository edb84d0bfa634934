"""Define the commands that claim and settle bookings.

A claim is named by (client account, service, idempotency key) and owned by
one request, whose random number is ``claim``.
"""

import dataclasses
import enum
import os

from bambooring_core import codec
from bambooring_core.dispatch import messages as dispatch

SCHEMA = codec.load_schema(
    os.path.join(os.path.dirname(__file__), 'bookings.capnp')
)


@codec.register(SCHEMA, 90)
@dataclasses.dataclass(slots=True, kw_only=True)
class Claim:
    """Claim a booking; ``digest`` is that of the request."""

    account: str
    service: str
    key: str
    digest: bytes
    claim: int


class ClaimOutcome(enum.StrEnum):
    """Say what became of a claim."""

    GRANTED = 'granted'
    HELD = 'held'
    SETTLED = 'settled'
    MISMATCH = 'mismatch'
    FULL = 'full'
    RELEASED = 'released'


@codec.register(SCHEMA, 91)
@dataclasses.dataclass(slots=True, kw_only=True)
class ClaimAnswer:
    """Answer a claim; a settled one carries the recorded response."""

    outcome: ClaimOutcome
    status: int = 0
    headers: list[dispatch.Header] = dataclasses.field(default_factory=list)
    body: bytes = b''
    is_body_kept: bool = True


@codec.register(SCHEMA, 92)
@dataclasses.dataclass(slots=True, kw_only=True)
class Settle:
    """Record a booking's response."""

    account: str
    service: str
    key: str
    claim: int
    status: int
    headers: list[dispatch.Header]
    body: bytes
    is_body_kept: bool = True


@codec.register(SCHEMA, 93)
@dataclasses.dataclass(slots=True, kw_only=True)
class Release:
    """Give up a claim whose booking was proved not to have run."""

    account: str
    service: str
    key: str
    claim: int


@codec.register(SCHEMA, 94)
@dataclasses.dataclass(slots=True, kw_only=True)
class Done:
    """Answer a settlement or a release."""

    is_done: bool


class ClaimPhase(enum.StrEnum):
    """Say how far a claim has come."""

    CLAIMED = 'claimed'
    SETTLED = 'settled'
    RELEASED = 'released'


@codec.register(SCHEMA, 95)
@dataclasses.dataclass(slots=True, kw_only=True)
class ClaimState:
    """Hold a claim; ``until`` is in seconds since the epoch."""

    account: str
    service: str
    key: str
    digest: bytes
    claim: int
    phase: ClaimPhase
    until: float
    status: int = 0
    headers: list[dispatch.Header] = dataclasses.field(default_factory=list)
    body: bytes = b''
    is_body_kept: bool = True


@codec.register(SCHEMA, 96)
@dataclasses.dataclass(slots=True, kw_only=True)
class Clock:
    """Hold the log's time in a snapshot, in seconds since the epoch."""

    now: float
