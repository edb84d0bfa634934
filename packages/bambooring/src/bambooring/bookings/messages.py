"""Define the commands that claim, settle and release bookings.

A claim is identified by client account, service and idempotency key. One
request owns it, which is identified by its random number ``claim``.
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
    """Command: claim a booking before it is run.

    ``digest`` is that of the request; another request with the same key but
    another digest does not get the recorded response.
    """

    account: str
    service: str
    key: str
    digest: bytes
    claim: int


class ClaimOutcome(enum.StrEnum):
    """Answer to a claim command.

    ``HELD``: another request owns the claim and has not settled it.
    ``SETTLED``: a response is recorded. ``MISMATCH``: the key was used for a
    request with another digest. ``FULL``: there are too many claims.
    ``RELEASED``: this claim was released before.
    """

    GRANTED = 'granted'
    HELD = 'held'
    SETTLED = 'settled'
    MISMATCH = 'mismatch'
    FULL = 'full'
    RELEASED = 'released'


@codec.register(SCHEMA, 91)
@dataclasses.dataclass(slots=True, kw_only=True)
class ClaimAnswer:
    """Reply to :class:`Claim`; with the recorded response if settled.

    ``is_body_kept`` is False if the body was too long to be recorded.
    """

    outcome: ClaimOutcome
    status: int = 0
    headers: list[dispatch.Header] = dataclasses.field(default_factory=list)
    body: bytes = b''
    is_body_kept: bool = True


@codec.register(SCHEMA, 92)
@dataclasses.dataclass(slots=True, kw_only=True)
class Settle:
    """Command: record the response of a claimed booking."""

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
    """Command: release a claim whose booking is proved not to have run."""

    account: str
    service: str
    key: str
    claim: int


@codec.register(SCHEMA, 94)
@dataclasses.dataclass(slots=True, kw_only=True)
class Done:
    """Reply to :class:`Settle` or :class:`Release`."""

    is_done: bool


class ClaimPhase(enum.StrEnum):
    """State of a claim."""

    CLAIMED = 'claimed'
    SETTLED = 'settled'
    RELEASED = 'released'


@codec.register(SCHEMA, 95)
@dataclasses.dataclass(slots=True, kw_only=True)
class ClaimState:
    """Claim as the control replicas hold it, also in snapshots.

    ``until`` is when it expires, in seconds since the epoch by the log's
    time. The response is set once the claim is settled.
    """

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
    """The log's time at a snapshot, in seconds since the epoch."""

    now: float
