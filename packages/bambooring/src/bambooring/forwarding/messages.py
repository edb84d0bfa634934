"""Define requests and responses independently of a platform's protocol."""

import dataclasses

from bambooring_core.http1 import messages as http1


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerRequest:
    """A caller's request, decoded by the dialect.

    ``attempt_id`` is the id that the caller gave this attempt.
    ``request_target`` is the path with the query, as in the request line.
    ``time_left_s`` is how long the caller waits, counted from the request's
    head, None if it doesn't say. ``last_event_id`` is the last event of a
    stream that the caller already has. ``prompt_tokens`` is the size of the
    prompt, 1 if it isn't known. ``prompt_parts`` are the ids of the parts that
    the prompt is made of, in order: requests share parts, but the last one is
    the request's or its session's own.
    """

    attempt_id: str
    method: str
    request_target: str
    host: str
    path: str
    api_key: str | None
    time_left_s: float | None
    last_event_id: int | None
    prompt_tokens: int
    prompt_parts: tuple[str, ...]
    headers: http1.Headers
    body: bytes | bytearray


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptMetadata:
    """What an attempt tells its target besides the caller's own request.

    The dialect encodes it as headers. ``account`` is the client account's
    name, empty for a request without an account. ``last_event_id`` is the
    last event of a stream that the caller already has. ``urgency`` is from 0,
    the most urgent, to 9, None where targets needn't know it.
    """

    target_id: str
    account: str
    time_left_s: float
    last_event_id: int | None
    urgency: int | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class TargetResponse:
    """The head of a target's response, decoded by the dialect.

    ``is_refused`` proves that the target has not run the request and will
    not. ``is_misdirected`` says besides that another target uses the address.
    ``is_signed`` means that the response carries the signature by which the
    target vouches for it, ``is_encoded`` that its body has a content
    encoding. ``faulty_target`` names the target that made a model group fail,
    if the response says so. ``rest_s`` is the time in seconds, above 0, that
    the response asks to wait, None if it names none. ``is_leaving`` means that
    the target says it is about to end. ``cold_ms`` is how long it says that it
    is still cold, 0 if it doesn't.
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
    rest_s: float | None
    is_leaving: bool
    cold_ms: int = 0

    @property
    def asked_rest_s(self) -> float | None:
        """Return for how long the target wants no requests, if it says so.

        Too many requests (429) are a matter of one caller, and another status
        than 503 with a time to wait is for the caller, not for this instance.
        """
        return self.rest_s if self.status == 503 else None

    @property
    def is_success(self) -> bool:
        """Return whether the target ran the request successfully."""
        return 200 <= self.status < 300


@dataclasses.dataclass(slots=True, kw_only=True)
class PlannedStop:
    """When a stopping instance does what, in the reactor's seconds.

    Requests admitted until ``accept_until_s`` are served as usual, since their
    callers can't know of the stop yet. At ``end_s`` the requests that still
    run are ended.
    """

    accept_until_s: float
    end_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class ErrorResponse:
    """An error response that this instance generates itself.

    ``retry_after_s`` is set only if the request has not run.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
