"""Define a request and a reply as the adapter hands them over."""

import dataclasses

from bambooring_core.http1 import messages as http1


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerRequest:
    """Hold what a caller asks, decoded.

    ``attempt_id`` is the caller's id of this attempt. ``time_left_s`` is how
    long the caller waits from the request's head on, None if it doesn't
    say. ``last_event_id`` is the last event that the caller already has of a
    stream. ``tokens`` estimates the work: prompt and answer.
    """

    attempt_id: str
    method: str
    request_target: str
    host: str
    path: str
    api_key: str | None
    time_left_s: float | None
    last_event_id: int | None
    tokens: int
    headers: http1.Headers
    body: bytes


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptMetadata:
    """Hold what a target is told beside the caller's own request.

    ``account`` is empty for a request without an account.
    """

    target_id: str
    account: str
    time_left_s: float
    last_event_id: int | None


@dataclasses.dataclass(slots=True, kw_only=True)
class TargetResponse:
    """Hold the head of a target's response, decoded.

    ``is_refused`` proves that the target has not run the request and will
    not. ``is_misdirected`` says besides that another target has the address.
    ``is_signed`` tells that the target vouches for the answer. ``faulty_target``
    names the target that made a group fail, if the reply tells.
    """

    status: int
    headers: http1.Headers
    attempt_id: str
    is_refused: bool
    is_misdirected: bool
    is_signed: bool
    is_encoded: bool
    is_stream: bool
    faulty_target: str

    @property
    def is_success(self) -> bool:
        """Tell whether the target ran the request to a good end."""
        return 200 <= self.status < 300


@dataclasses.dataclass(slots=True, kw_only=True)
class ErrorResponse:
    """Answer a request without a target's answer.

    ``retry_after_s`` is set only where the request has not run.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
