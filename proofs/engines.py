"""Stand in for targets and for the engines that their agents call."""

import collections.abc
import dataclasses
import typing

from bambooring_core.dispatch import messages as wire
from bambooring_core import settings
from proofs import network as network_module
from proofs import world as world_module

CHUNKS = 12
CHUNK_S = 0.05
CRASH_MARK = 'crash-the-target'


@dataclasses.dataclass(slots=True, kw_only=True)
class Run:
    """Hold one run of a request on a target."""

    request_id: str
    target: str
    at: float
    is_booking: bool
    body: bytes


class Host(typing.Protocol):
    """Own the targets, and take note of what they run."""

    world: world_module.World

    def note_run(self, target: 'SimTarget', start: wire.Start) -> None:
        """Take note of a run as it begins."""


class SimTarget:
    """Stand in for a target, apart from its agent's process."""

    def __init__(self, cluster: 'Host', name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.is_alive = True
        self.generation = 0
        self.engine: 'SimEngine | None' = None

    def die(self) -> None:
        """End every call, as a crash does, and come back later."""
        if not self.is_alive:
            return
        self.is_alive = False
        self.generation += 1
        if self.engine is not None:
            self.engine.lose_all()
        self.cluster.world.schedule(
            self.cluster.world.rng.uniform(0.5, 3.0), self.come_back
        )

    def come_back(self) -> None:
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
        self._running: dict[int, wire.Start] = {}
        target.engine = self
        reactor.call_every(0.5, self._check_health)

    def _check_health(self) -> None:
        self.listener.handle_health_change(self.target.is_alive)

    def call(self, start: wire.Start) -> None:
        """Run an attempt on the target."""
        if not self.target.is_alive:
            self._end_later(start, wire.Outcome.NOT_RUN, 'unreachable')
            return
        self.target.cluster.note_run(self.target, start)
        self._running[start.attempt] = start
        if CRASH_MARK.encode() in start.body:
            self.world.schedule(
                self.world.rng.uniform(0.01, 0.2), self.target.die
            )
        parts = make_answer(start.request_id, start.body)
        if not start.is_chat:
            parts = [b''.join(parts)]
        self._later(0.005, lambda: self._open(start))
        for index, part in enumerate(parts, 1):
            self._later(index * CHUNK_S, self._make_writer(start, part))
        end_s = len(parts) * CHUNK_S + 0.001
        self._later(end_s, lambda: self._finish(start))

    def _later(
        self, delay_s: float, action: collections.abc.Callable[[], None]
    ) -> None:
        generation = self.target.generation

        def act() -> None:
            if self.target.generation == generation:
                action()

        self.reactor.call_later(delay_s, act)

    def _end_later(
        self, start: wire.Start, outcome: wire.Outcome, reason: str
    ) -> None:
        self.reactor.call_later(
            0.002,
            lambda: self.listener.handle_call_end(
                start.attempt, outcome, reason
            ),
        )

    def _open(self, start: wire.Start) -> None:
        if start.attempt in self._running:
            kind = 'text/event-stream' if start.is_chat else 'text/plain'
            headers = [wire.Header(name='Content-Type', value=kind)]
            self.listener.handle_response_head(start.attempt, 200, headers)

    def _make_writer(
        self, start: wire.Start, part: bytes
    ) -> collections.abc.Callable[[], None]:
        def write() -> None:
            if start.attempt in self._running:
                self.listener.handle_response_data(start.attempt, part)

        return write

    def _finish(self, start: wire.Start) -> None:
        if self._running.pop(start.attempt, None) is not None:
            self.listener.handle_call_end(
                start.attempt, wire.Outcome.COMPLETE, ''
            )

    def abort(self, attempt: int) -> None:
        """End a call."""
        self._running.pop(attempt, None)

    def lose_all(self) -> None:
        """Lose every call, as when the target crashes."""
        running, self._running = self._running, {}
        for start in running.values():
            self._end_later(start, wire.Outcome.UNKNOWN, 'target_lost')


def make_answer(request_id: str, body: bytes) -> list[bytes]:
    """Return the parts of the answer to a request's body."""
    digest = settings.compute_digest(body.decode())[:12]
    return [f'{digest}:{index};'.encode() for index in range(CHUNKS)]
