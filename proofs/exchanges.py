"""Hear what callers are told."""

import collections.abc

from bambooring.dispatch import messages as dispatch
from bambooring_core.dispatch import messages as wire


class Exchange:
    """Hold what one caller hears of one request."""

    def __init__(self, request_id: str, body: bytes) -> None:
        self.request_id = request_id
        self.body = body
        self.head: dispatch.Head | None = None
        self.chunks: list[bytes] = []
        self.end_event: dispatch.Finished | dispatch.Failure | None = None
        self.on_end: collections.abc.Callable[[], None] = lambda: None

    @property
    def response_body(self) -> bytes:
        """Return the body so far."""
        return b''.join(self.chunks)

    @property
    def is_complete(self) -> bool:
        """Tell whether it ended as a whole answer."""
        return isinstance(self.end_event, dispatch.Finished)

    def put(self, event: dispatch.Event) -> None:
        """Hear an event."""
        if self.end_event is not None:
            return
        match event:
            case dispatch.Head():
                self.head = event
            case dispatch.Data():
                self.chunks.append(event.data)
            case dispatch.Finished() | dispatch.Failure():
                self.end_event = event
                self.on_end()

    def fail(
        self, reason: str, outcome: wire.Outcome, status: int = 0
    ) -> None:
        """Hear a failure that dispatch did not tell."""
        self.put(
            dispatch.Failure(status=status, reason=reason, outcome=outcome)
        )
