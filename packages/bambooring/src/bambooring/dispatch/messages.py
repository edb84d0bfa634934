"""Define a call, what its caller hears and what dispatch asks for."""

import dataclasses
import typing

from bambooring.configuration import records
from bambooring_core.dispatch import messages as wire


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """Hold one admitted request; times in seconds.

    ``key`` is the idempotency key of a booking, empty for none.
    """

    id: int
    request_id: str
    account: records.ClientAccount
    service: records.Service
    kind: wire.Kind
    method: str
    path: str
    headers: list[wire.Header]
    body: bytes
    idempotency_key: str = ''
    digest: bytes = b''
    lane: wire.Lane = wire.Lane.SHORT
    cost: float = 1.0
    prefix_hash: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Head:
    """Begin an answer."""

    status: int
    headers: list[wire.Header]


@dataclasses.dataclass(slots=True, kw_only=True)
class Data:
    """Carry a part of an answer's body."""

    data: bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class Finished:
    """End a whole answer."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Failure:
    """End a call with an error; a wait in seconds, 0 for none."""

    status: int
    reason: str
    outcome: wire.Outcome
    retry_after_s: float = 0.0


Event = Head | Data | Finished | Failure


@dataclasses.dataclass(slots=True, kw_only=True)
class SendToTarget:
    """Ask for a message to a target's agent."""

    target: str
    message: typing.Any


@dataclasses.dataclass(slots=True, kw_only=True)
class SendToCaller:
    """Ask for an event to be told to a call's caller."""

    call_id: int
    event: Event


@dataclasses.dataclass(slots=True, kw_only=True)
class Propose:
    """Ask for a command to be proposed to the control replicas.

    The answer goes to :meth:`Dispatcher.handle_proposal_reply` with ``call``;
    a call of 0 wants none.
    """

    call_id: int
    command: typing.Any
    timeout_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class SpreadSuspicions:
    """Ask for the news of the quarantine to be spread at once."""


Effect = SendToTarget | SendToCaller | Propose | SpreadSuspicions
