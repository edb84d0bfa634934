"""Pass on the stream of events that one attempt receives."""

import collections.abc

from bambooring.forwarding import attempt as attempt_module
from bambooring.forwarding import caller_response as caller_module
from bambooring.forwarding import const
from bambooring.forwarding import decisions
from bambooring.forwarding import events
from bambooring.forwarding import forwarder as forwarder_module
from bambooring.forwarding import stalls
from bambooring.policy import messages as policy


class AttemptStream:
    """The stream of one attempt, from its head on.

    Its buffer and its timer end with the attempt. ``handle_event`` is called
    before events are passed on, with the time since the first one in seconds,
    ``handle_stall`` each time that the stream is found to be stalled.
    """

    __slots__ = (
        '_attempt',
        '_caller',
        '_forwarder',
        '_first_event_s',
        '_handle_event',
        '_handle_stall',
        '_last_event_s',
        '_reader',
        '_route',
        '_service',
        '_stall_watch',
    )

    def __init__(
        self,
        *,
        attempt: attempt_module.Attempt,
        forwarder: forwarder_module.Forwarder,
        caller: caller_module.CallerResponse,
        route: policy.Route,
        service: str,
        handle_event: collections.abc.Callable[[float], None],
        handle_stall: collections.abc.Callable[[], None],
    ) -> None:
        self._attempt = attempt
        self._forwarder = forwarder
        self._caller = caller
        self._route = route
        self._service = service
        self._handle_event = handle_event
        self._handle_stall = handle_stall
        self._reader = events.EventReader(
            caller.delivered_events, forwarder.event_format
        )
        self._first_event_s = 0.0
        self._last_event_s: float | None = None
        self._stall_watch: stalls.StallWatch | None = None

    @property
    def has_broken_off(self) -> bool:
        """Return whether a stream that has ended can't be whole.

        One without a length ends in the same way if its target fails, so that
        at least one event has to have come.
        """
        if self._reader.has_partial_event:
            return True
        return not self._attempt.has_length and not self.counts.complete

    @property
    def partial_bytes(self) -> int:
        """Return the size of the event that isn't complete yet."""
        return self._reader.partial_bytes

    @property
    def counts(self) -> events.EventCounts:
        """Return what the target has sent so far."""
        return self._reader.counts

    def forward(self, data: bytes) -> None:
        """Pass on the events that a part of the body completes.

        :param data: the part of the body
        :raises EventStreamError: if what follows them can't be passed on
        """
        complete_events: list[bytes] = []
        try:
            complete_events.extend(self._reader.feed(data))
        finally:
            if complete_events:
                self._send(b''.join(complete_events))

    def _send(self, complete_events: bytes) -> None:
        now_s = self._forwarder.reactor.now()
        if self._last_event_s is None:
            self._first_event_s = now_s
            self._forwarder.record_prompt_read(self._attempt)
        else:
            self._forwarder.balancer.record_event_gap(
                self._service,
                now_s - self._last_event_s,
                self._route.max_event_gap_s,
            )
        self._last_event_s = now_s
        self._handle_event(now_s - self._first_event_s)
        self._forwarder.event_log.record(
            self._service, self._attempt.target.id, now_s
        )
        self._watch_for_stall(now_s)
        response = self._attempt.response
        assert response is not None
        self._caller.write_events(response, complete_events)

    def _watch_for_stall(self, now_s: float) -> None:
        """Note an event of a stream that could go on at another target."""
        if self._stall_watch is not None:
            self._stall_watch.record_event(now_s)
        elif self._route.is_retryable:
            self._stall_watch = stalls.StallWatch(
                reactor=self._forwarder.reactor,
                limit_s=decisions.get_stream_idle_s(self._route)
                * const.STREAM_STALL_SHARE,
                has_progress_since=self._has_progress_elsewhere,
                handle_stall=self._handle_stall,
            )

    def _has_progress_elsewhere(self, since_s: float) -> bool:
        return self._forwarder.event_log.has_event_elsewhere(
            self._service, self._attempt.target.id, since_s
        )

    def close(self) -> None:
        """Free the buffer and stop watching; the attempt has ended."""
        self._reader.close()
        if self._stall_watch is not None:
            self._stall_watch.cancel()
