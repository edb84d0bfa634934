"""Stand in for targets and for the engines that their agents call."""

import collections.abc
import dataclasses
import typing

from bambooring_core.dispatch import messages as wire
from bambooring_core import settings
from proofs import network as network_module
from proofs import world as world_module

CHUNK_COUNT = 12
CHUNK_INTERVAL_S = 0.05
CRASH_MARKER = 'crash-the-target'


@dataclasses.dataclass(slots=True, kw_only=True)
class Execution:
    """Hold one run of a request on a target."""

    request_id: str
    target: str
    started_s: float
    is_booking: bool
    body: bytes


class TargetCluster(typing.Protocol):
    """Own the targets, and take note of what they run."""

    world: world_module.World

    def record_execution(self, target: 'SimTarget', start: wire.Start) -> None:
        """Take note of a run as it begins."""


class SimTarget:
    """Stand in for a target, apart from its agent's process."""

    def __init__(self, cluster: 'TargetCluster', name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.is_alive = True
        self.generation = 0
        self.engine: 'SimEngine | None' = None

    def crash(self) -> None:
        """End every call, as a crash does, and come back later."""
        if not self.is_alive:
            return
        self.is_alive = False
        self.generation += 1
        if self.engine is not None:
            self.engine.fail_all_calls()
        self.cluster.world.schedule(
            self.cluster.world.rng.uniform(0.5, 3.0), self.restart
        )

    def restart(self) -> None:
        """Answer again."""
        self.is_alive = True


class SimEngine:
    """Be the agent's engine: call the target in simulated time."""

    def __init__(
        self,
        *,
        reactor: network_module.SimReactor,
        url: str,
        health_path: str | None,
        listener: typing.Any,
        target: SimTarget,
    ) -> None:
        self.reactor = reactor
        self.listener = listener
        self.target = target
        self.world = reactor.world
        self._running_calls: dict[int, wire.Start] = {}
        target.engine = self
        reactor.call_every(0.5, self._check_health)

    def _check_health(self) -> None:
        self.listener.handle_health_change(self.target.is_alive)

    def call(self, start: wire.Start) -> None:
        """Run an attempt on the target."""
        if not self.target.is_alive:
            self._schedule_failure(start, wire.Outcome.NOT_RUN, 'unreachable')
            return
        self.target.cluster.record_execution(self.target, start)
        self._running_calls[start.attempt] = start
        if CRASH_MARKER.encode() in start.body:
            self.world.schedule(
                self.world.rng.uniform(0.01, 0.2), self.target.crash
            )
        parts = make_response_chunks(start.request_id, start.body)
        if not start.is_chat:
            parts = [b''.join(parts)]
        self._call_later(0.005, lambda: self._send_response_head(start))
        for index, part in enumerate(parts, 1):
            self._call_later(
                index * CHUNK_INTERVAL_S, self._make_chunk_sender(start, part)
            )
        end_s = len(parts) * CHUNK_INTERVAL_S + 0.001
        self._call_later(end_s, lambda: self._complete_call(start))

    def _call_later(
        self, delay_s: float, action: collections.abc.Callable[[], None]
    ) -> None:
        generation = self.target.generation

        def act() -> None:
            if self.target.generation == generation:
                action()

        self.reactor.call_later(delay_s, act)

    def _schedule_failure(
        self, start: wire.Start, outcome: wire.Outcome, reason: str
    ) -> None:
        self.reactor.call_later(
            0.002,
            lambda: self.listener.handle_call_end(
                start.attempt, outcome, reason
            ),
        )

    def _send_response_head(self, start: wire.Start) -> None:
        if start.attempt in self._running_calls:
            kind = 'text/event-stream' if start.is_chat else 'text/plain'
            headers = [wire.Header(name='Content-Type', value=kind)]
            self.listener.handle_response_head(start.attempt, 200, headers)

    def _make_chunk_sender(
        self, start: wire.Start, part: bytes
    ) -> collections.abc.Callable[[], None]:
        def write() -> None:
            if start.attempt in self._running_calls:
                self.listener.handle_response_data(start.attempt, part)

        return write

    def _complete_call(self, start: wire.Start) -> None:
        if self._running_calls.pop(start.attempt, None) is not None:
            self.listener.handle_call_end(
                start.attempt, wire.Outcome.COMPLETE, ''
            )

    def abort(self, attempt: int) -> None:
        """End a call."""
        self._running_calls.pop(attempt, None)

    def fail_all_calls(self) -> None:
        """Lose every call, as when the target crashes."""
        running, self._running_calls = self._running_calls, {}
        for start in running.values():
            self._schedule_failure(start, wire.Outcome.UNKNOWN, 'target_lost')


def make_response_chunks(request_id: str, body: bytes) -> list[bytes]:
    """Return the parts of the answer to a request's body."""
    digest = settings.compute_digest(body.decode())[:12]
    return [f'{digest}:{index};'.encode() for index in range(CHUNK_COUNT)]
