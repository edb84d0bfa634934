"""Hold what is known of a call in progress and of its attempt."""

import dataclasses

from bambooring.dispatch import const
from bambooring.dispatch import messages
from bambooring_core.dispatch import messages as wire


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """Hold one try of a call on one target."""

    id: int
    target: str
    incarnation: int
    received_bytes: int = 0
    acknowledged_bytes: int = 0
    link_lost_at: float | None = None
    head: wire.Opened | None = None
    buffered_parts: list[bytes] = dataclasses.field(default_factory=list)

    def is_resume_overdue(self, now: float) -> bool:
        """Tell whether the link has been gone for too long.

        :param now: the current time in seconds
        """
        if self.link_lost_at is None:
            return False
        return now >= self.link_lost_at + const.RESUME_TIMEOUT_S


@dataclasses.dataclass(slots=True, kw_only=True)
class ActiveCall:
    """Hold a call's progress."""

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
        """Tell whether the call is a booking with a claim."""
        return bool(self.call.idempotency_key)

    @property
    def start_deadline(self) -> float:
        """Return when the call must have started, in seconds."""
        return self.arrived_at + self.call.service.start_within_s

    @property
    def end_deadline(self) -> float:
        """Return when the call must have ended, in seconds."""
        return self.arrived_at + self.call.service.end_within_s
