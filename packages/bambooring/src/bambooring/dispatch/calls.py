"""Define the state of a call in progress and of its current attempt."""

import dataclasses

from bambooring.dispatch import const
from bambooring.dispatch import messages
from bambooring_core.dispatch import messages as wire


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """One attempt to run a call on one target.

    ``incarnation`` is that of the target's agent. ``received_bytes`` and
    ``acknowledged_bytes`` count the response body. ``link_lost_at`` is the
    time in seconds since when there has been no link to the agent, None
    while there is one. ``head`` is the target's response head and
    ``buffered_parts`` what has arrived of the body and is held back.
    """

    id: int
    target: str
    incarnation: int
    received_bytes: int = 0
    acknowledged_bytes: int = 0
    link_lost_at: float | None = None
    head: wire.Opened | None = None
    buffered_parts: list[bytes] = dataclasses.field(default_factory=list)

    def is_resume_overdue(self, now: float) -> bool:
        """Return whether the wait for a new link to the agent is over.

        :param now: the current time in seconds
        """
        if self.link_lost_at is None:
            return False
        return now >= self.link_lost_at + const.RESUME_TIMEOUT_S


@dataclasses.dataclass(slots=True, kw_only=True)
class ActiveCall:
    """Call in progress, with its current attempt.

    ``claim_id`` is the random number that owns the claim of a booking, 0
    without a claim. ``sent_head`` is the response head that the caller has
    been sent; once ``is_body_started``, no other attempt may replace the
    current one. ``is_settling`` is set while the response of a booking is
    being recorded. ``has_caller`` is cleared once the caller has left or has
    been sent its last event early. ``may_have_run`` is set once an attempt
    has ended without proof that it did not run. ``arrived_at`` is in seconds.
    """

    call: messages.Call
    arrived_at: float
    claim_id: int = 0
    attempt: Attempt | None = None
    sent_head: wire.Opened | None = None
    tried_targets: set[str] = dataclasses.field(default_factory=set)
    attempt_count: int = 0
    error_retry_count: int = 0
    is_body_started: bool = False
    is_settling: bool = False
    has_caller: bool = True
    may_have_run: bool = False

    @property
    def has_idempotency_key(self) -> bool:
        """Return whether the call is a booking that has to be claimed."""
        return bool(self.call.idempotency_key)

    @property
    def start_deadline(self) -> float:
        """Return the time in seconds until when an attempt may start."""
        return self.arrived_at + self.call.service.start_within_s

    @property
    def end_deadline(self) -> float:
        """Return the time in seconds until when the call has to end."""
        return self.arrived_at + self.call.service.end_within_s
