"""Notice streams whose target is silent while other targets make progress.

A connection can go silent for good without a sign, and a target can send a
byte now and then that never completes an event. A target that is only slow
has events now and then; a model group that stands still is silent at all of
its targets. So a stream counts as stalled only if it has no complete event for
a long time, and streams of its service at other targets had some meanwhile.
"""

import collections.abc
import typing

from bambooring_core import reactor as reactor_module

# How long a target without events is remembered.
_EXPIRY_S: typing.Final = 60.0
_MAX_TARGETS: typing.Final = 4096


class EventLog:
    """Remember when each target last sent an event of a stream."""

    __slots__ = ('_last_event_s',)

    def __init__(self) -> None:
        # By service and target, in the reactor's seconds.
        self._last_event_s: dict[tuple[str, str], float] = {}

    def record(self, service: str, target_id: str, now_s: float) -> None:
        """Record an event of a stream at a target."""
        self._last_event_s[service, target_id] = now_s
        if len(self._last_event_s) > _MAX_TARGETS:
            self._last_event_s = {
                key: event_s
                for key, event_s in self._last_event_s.items()
                if event_s > now_s - _EXPIRY_S
            }

    def has_event_elsewhere(
        self, service: str, target_id: str, since_s: float
    ) -> bool:
        """Return whether another target had an event since some time."""
        return any(
            event_s >= since_s
            for (event_service, event_target), event_s in (
                self._last_event_s.items()
            )
            if event_service == service and event_target != target_id
        )


class StallWatch:
    """Watch one attempt of a stream from its first event on.

    ``has_progress_since`` returns whether other targets had events since a
    time, ``handle_stall`` is called each time that the stream is found to be
    stalled.
    """

    __slots__ = (
        '_handle_stall',
        '_has_progress_since',
        '_last_event_s',
        '_limit_s',
        '_reactor',
        '_timer',
    )

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        limit_s: float,
        has_progress_since: collections.abc.Callable[[float], bool],
        handle_stall: collections.abc.Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._limit_s = limit_s
        self._has_progress_since = has_progress_since
        self._handle_stall = handle_stall
        self._last_event_s = reactor.now()
        self._timer = reactor.call_later(limit_s, self._check)

    def record_event(self, now_s: float) -> None:
        """Record a complete event."""
        self._last_event_s = now_s

    def _check(self) -> None:
        silence_s = self._reactor.now() - self._last_event_s
        if silence_s < self._limit_s:
            self._timer = self._reactor.call_later(
                self._limit_s - silence_s, self._check
            )
            return
        # Events of the others shortly after the last own one don't show that
        # they go on while this target is silent.
        self._timer = self._reactor.call_later(self._limit_s / 4, self._check)
        if self._has_progress_since(self._last_event_s + self._limit_s / 2):
            self._handle_stall()

    def cancel(self) -> None:
        """Stop watching."""
        self._timer.cancel()
