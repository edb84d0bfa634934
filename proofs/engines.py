"""Simulate targets and the engine clients with which agents call them."""

import collections.abc
import dataclasses
import typing

from bambooring_core.dispatch import messages as wire
from bambooring_core import settings
from proofs import network as network_module
from proofs import world as world_module

CHUNK_COUNT = 12
CHUNK_INTERVAL_S = 0.05
# A request that contains this crashes its target.
CRASH_MARKER = 'crash-the-target'


@dataclasses.dataclass(slots=True, kw_only=True)
class Execution:
    """The execution of a request by a target.

    ``started_s`` is in simulated time; ``body`` is the request body.
    """

    request_id: str
    target: str
    started_s: float
    is_booking: bool
    body: bytes


class TargetCluster(typing.Protocol):
    """The cluster of a target, which records what its targets execute."""

    world: world_module.World

    def record_execution(self, target: 'SimTarget', start: wire.Start) -> None:
        """Record that a target starts to execute a request."""


class SimTarget:
    """A simulated target, which can crash while its agent keeps running.

    ``generation`` is incremented by each crash.
    """

    def __init__(self, cluster: 'TargetCluster', name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.is_alive = True
        self.generation = 0
        self.engine: 'SimEngine | None' = None

    def crash(self) -> None:
        """Fail all calls and be unreachable for 0.5 s to 3 s."""
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
        """Accept calls again."""
        self.is_alive = True


class SimEngine:
    """An agent's engine client together with the engine of its target.

    It replaces a :class:`bambooring_agent.engine.messages.EngineClient`.
    Chat responses are streamed in chunks at an interval; other responses
    consist of a single chunk.
    """

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
        """Execute an attempt on the target."""
        if not self.target.is_alive:
            self._schedule_failure(start, wire.Outcome.NOT_RUN, 'unreachable')
            return
        self.target.cluster.record_execution(self.target, start)
        self._running_calls[start.attempt] = start
        if CRASH_MARKER.encode() in start.body:
            self.world.schedule(
                self.world.rng.uniform(0.01, 0.2), self.target.crash
            )
        chunks = make_response_chunks(start.request_id, start.body)
        if not start.is_chat:
            chunks = [b''.join(chunks)]
        self._call_later(0.005, lambda: self._send_response_head(start))
        for index, chunk in enumerate(chunks, 1):
            self._call_later(
                index * CHUNK_INTERVAL_S, self._make_chunk_sender(start, chunk)
            )
        end_s = len(chunks) * CHUNK_INTERVAL_S + 0.001
        self._call_later(end_s, lambda: self._complete_call(start))

    def _call_later(
        self, delay_s: float, action: collections.abc.Callable[[], None]
    ) -> None:
        """Run an action after a delay unless the target crashes before."""
        generation = self.target.generation

        def run_unless_crashed() -> None:
            if self.target.generation == generation:
                action()

        self.reactor.call_later(delay_s, run_unless_crashed)

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
            media_type = 'text/event-stream' if start.is_chat else 'text/plain'
            headers = [wire.Header(name='Content-Type', value=media_type)]
            self.listener.handle_response_head(start.attempt, 200, headers)

    def _make_chunk_sender(
        self, start: wire.Start, chunk: bytes
    ) -> collections.abc.Callable[[], None]:
        def send_chunk() -> None:
            if start.attempt in self._running_calls:
                self.listener.handle_response_data(start.attempt, chunk)

        return send_chunk

    def _complete_call(self, start: wire.Start) -> None:
        if self._running_calls.pop(start.attempt, None) is not None:
            self.listener.handle_call_end(
                start.attempt, wire.Outcome.COMPLETE, ''
            )

    def abort(self, attempt: int) -> None:
        """Abort an attempt's call without reporting its end."""
        self._running_calls.pop(attempt, None)

    def fail_all_calls(self) -> None:
        """Fail all running calls with an unknown outcome."""
        failed_calls, self._running_calls = self._running_calls, {}
        for start in failed_calls.values():
            self._schedule_failure(start, wire.Outcome.UNKNOWN, 'target_lost')


def make_response_chunks(request_id: str, body: bytes) -> list[bytes]:
    """Return the response to a request, which depends on its body only.

    :param request_id: not used
    :param body: the request body
    :returns: the response body in chunks
    """
    digest = settings.compute_digest(body.decode())[:12]
    return [f'{digest}:{index};'.encode() for index in range(CHUNK_COUNT)]
