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
    received: int = 0
    acknowledged: int = 0
    lost_at: float | None = None
    head: wire.Opened | None = None
    parts: list[bytes] = dataclasses.field(default_factory=list)

    def is_lost(self, now: float) -> bool:
        """Tell whether the link has been gone for too long.

        :param now: the current time in seconds
        """
        if self.lost_at is None:
            return False
        return now >= self.lost_at + const.RESUME_TIMEOUT_S


@dataclasses.dataclass(slots=True, kw_only=True)
class ActiveCall:
    """Hold a call's progress."""

    call: messages.Call
    arrived: float
    claim: int = 0
    attempt: Attempt | None = None
    head: wire.Opened | None = None
    tried: set[str] = dataclasses.field(default_factory=set)
    attempts: int = 0
    error_retries: int = 0
    is_released: bool = False
    is_settling: bool = False
    has_caller: bool = True
    has_run: bool = False

    @property
    def is_claimed(self) -> bool:
        """Tell whether the call is a booking with a claim."""
        return bool(self.call.key)

    @property
    def start_by(self) -> float:
        """Return when the call must have started, in seconds."""
        return self.arrived + self.call.service.start_within_s

    @property
    def end_by(self) -> float:
        """Return when the call must have ended, in seconds."""
        return self.arrived + self.call.service.end_within_s
