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
        self.parts: list[bytes] = []
        self.end: dispatch.Finished | dispatch.Failure | None = None
        self.on_end: collections.abc.Callable[[], None] = lambda: None

    @property
    def text(self) -> bytes:
        """Return the body so far."""
        return b''.join(self.parts)

    @property
    def is_whole(self) -> bool:
        """Tell whether it ended as a whole answer."""
        return isinstance(self.end, dispatch.Finished)

    def put(self, event: dispatch.Event) -> None:
        """Hear an event."""
        if self.end is not None:
            return
        match event:
            case dispatch.Head():
                self.head = event
            case dispatch.Data():
                self.parts.append(event.data)
            case dispatch.Finished() | dispatch.Failure():
                self.end = event
                self.on_end()

    def fail(
        self, reason: str, outcome: wire.Outcome, status: int = 0
    ) -> None:
        """Hear a failure that dispatch did not tell."""
        self.put(
            dispatch.Failure(status=status, reason=reason, outcome=outcome)
        )
