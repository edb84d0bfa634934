"""Send one caller its response, and know what it has of it.

The response may come from several attempts, of which each passes on its own
part. What an attempt itself has received is not kept here.
"""

from bambooring.forwarding import decisions
from bambooring.forwarding import events
from bambooring.forwarding import messages
from bambooring_core.http1 import server
from bambooring_core import reactor as reactor_module


class CallerResponse:
    """The response to one caller, as far as it has been sent.

    ``first_byte_s`` is when the caller was first sent a part of a target's
    response, in the reactor's seconds. ``has_events`` is true if the caller
    has events of a stream, which another attempt may continue.
    """

    __slots__ = (
        '_exchange',
        '_progress',
        '_reactor',
        'delivered_events',
        'first_byte_s',
        'has_events',
    )

    def __init__(
        self,
        *,
        exchange: server.Exchange,
        progress: decisions.Progress,
        reactor: reactor_module.Reactor,
        last_event_id: int | None,
    ) -> None:
        self._exchange = exchange
        self._progress = progress
        self._reactor = reactor
        self.delivered_events = events.DeliveredEvents(last_event_id)
        self.first_byte_s: float | None = None
        self.has_events = False

    @property
    def is_started(self) -> bool:
        """Return whether the caller has a part of the response."""
        return self._progress.is_response_started

    @property
    def is_congested(self) -> bool:
        """Return whether the caller reads more slowly than it is sent to."""
        return self._exchange.is_congested

    def start(self, response: messages.TargetResponse) -> None:
        """Send the head, unless an earlier attempt has."""
        if self.is_started:
            return
        self._progress.is_response_started = True
        self.first_byte_s = self._reactor.now()
        self._exchange.start(response.status, response.headers)

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        self._exchange.write(data)

    def write_events(
        self, response: messages.TargetResponse, complete_events: bytes
    ) -> None:
        """Send complete events of a stream, after its head."""
        self.start(response)
        self.has_events = True
        self._exchange.write(complete_events)

    def end(self, response: messages.TargetResponse) -> None:
        """End a response that was sent in parts; it is complete."""
        self.start(response)
        self._exchange.end()

    def respond(self, response: messages.TargetResponse, body: bytes) -> None:
        """Send a whole response of a target."""
        self.first_byte_s = self._reactor.now()
        self._exchange.respond(response.status, response.headers, body)

    def abort(self) -> None:
        """Break off a response that was started."""
        self._exchange.abort()
