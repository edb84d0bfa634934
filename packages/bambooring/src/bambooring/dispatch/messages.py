"""Define calls, the events sent to their callers and the effects.

The dispatcher does no I/O: it yields effects, which the entry instance
performs.
"""

import dataclasses
import typing

from bambooring.configuration import records
from bambooring_core.dispatch import messages as wire


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """Request of a client account, as it is handed to the dispatcher.

    ``id`` identifies the call within this process, ``request_id`` in logs
    and response headers. ``idempotency_key`` is that of a booking, empty
    for none. ``digest`` is the SHA-256 of method, path and body. ``lane``,
    ``cost`` and ``prefix_hash`` are the estimate of the call's work, see
    :class:`bambooring.callers.state.Estimate`.
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
    """Event: status and headers of the response."""

    status: int
    headers: list[wire.Header]


@dataclasses.dataclass(slots=True, kw_only=True)
class Data:
    """Event: the next part of the response body."""

    data: bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class Finished:
    """Event: the response is complete."""


@dataclasses.dataclass(slots=True, kw_only=True)
class Failure:
    """Event: the call has failed.

    ``retry_after_s`` is the wait in seconds to advise the caller to keep
    before a retry, 0 for no advice.
    """

    status: int
    reason: str
    outcome: wire.Outcome
    retry_after_s: float = 0.0


Event = Head | Data | Finished | Failure


@dataclasses.dataclass(slots=True, kw_only=True)
class SendToTarget:
    """Effect: send a message to a target's agent."""

    target: str
    message: typing.Any


@dataclasses.dataclass(slots=True, kw_only=True)
class SendToCaller:
    """Effect: pass an event on to a call's caller."""

    call_id: int
    event: Event


@dataclasses.dataclass(slots=True, kw_only=True)
class Propose:
    """Effect: propose a command to the control replicas.

    The reply is passed to :meth:`Dispatcher.handle_proposal_reply` with
    ``call_id``; if that is 0, the reply is dropped.
    """

    call_id: int
    command: typing.Any
    timeout_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class SpreadSuspicions:
    """Effect: send new suspicions of the quarantine to peers at once."""


Effect = SendToTarget | SendToCaller | Propose | SpreadSuspicions
