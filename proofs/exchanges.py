"""Record the responses that callers receive."""

import collections.abc

from bambooring.dispatch import messages as dispatch
from bambooring_core.dispatch import messages as wire


class Exchange:
    """A caller's request and the events of its response so far.

    An entry instance puts the events into it. ``body`` is the request body.
    ``end_event`` is None until the response has ended; ``on_end`` is called
    when it ends.
    """

    def __init__(self, request_id: str, body: bytes) -> None:
        self.request_id = request_id
        self.body = body
        self.head: dispatch.Head | None = None
        self.chunks: list[bytes] = []
        self.end_event: dispatch.Finished | dispatch.Failure | None = None
        self.on_end: collections.abc.Callable[[], None] = lambda: None

    @property
    def response_body(self) -> bytes:
        """Return the part of the response body received so far."""
        return b''.join(self.chunks)

    @property
    def is_complete(self) -> bool:
        """Return whether the whole response was received."""
        return isinstance(self.end_event, dispatch.Finished)

    def put(self, event: dispatch.Event) -> None:
        """Record an event; events after the end are ignored."""
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
        """End the response with a failure that no dispatcher reported.

        It stands for a connection that failed or for a refusal at once.
        """
        self.put(
            dispatch.Failure(status=status, reason=reason, outcome=outcome)
        )
