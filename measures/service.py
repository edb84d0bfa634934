"""Model targets that batch continuously, and time what callers feel.

A step takes longer the more requests run; each running request gets one
token a step. The agents, entry instances and control replicas are the real
ones, run in simulated time.
"""

import collections
import collections.abc
import dataclasses
import json
import typing

from bambooring.configuration import messages as configuration
from bambooring.dispatch import messages as dispatch
from bambooring_core.dispatch import messages as wire
from bambooring_core import settings
from measures import report
from proofs import cluster as cluster_module
from proofs import declarations
from proofs import engines
from proofs import exchanges
from proofs import world as world_module

SLOTS = 16
STEP_S = 0.020
STEP_PER_RUNNING_S = 0.001
PREFILL_S = 0.03
FULL_STEP_S = STEP_S + SLOTS * STEP_PER_RUNNING_S
TOKENS_PER_S = SLOTS / FULL_STEP_S


@dataclasses.dataclass(slots=True, kw_only=True)
class _Job:
    """Hold one request on a target."""

    start: wire.Start
    left: int
    begun: bool = False


class BatchEngine(engines.SimEngine):
    """Run every request of a target in one batch, step by step."""

    def __init__(self, **more: typing.Any) -> None:
        super().__init__(**more)
        self._jobs: dict[int, _Job] = {}
        self._stepping = False
        self.tokens = 0

    def call(self, start: wire.Start) -> None:
        """Put an attempt into the batch."""
        if not self.target.is_alive:
            self._schedule_failure(start, wire.Outcome.NOT_RUN, 'unreachable')
            return
        self.target.cluster.record_execution(self.target, start)
        self._running_calls[start.attempt] = start
        tokens = json.loads(start.body).get('max_tokens', 1)
        self._jobs[start.attempt] = _Job(start=start, left=tokens)
        if not self._stepping:
            self._stepping = True
            self._call_later(PREFILL_S, self._step)

    def abort(self, attempt: int) -> None:
        """Take a request out of the batch."""
        super().abort(attempt)
        self._jobs.pop(attempt, None)

    def fail_all_calls(self) -> None:
        """Lose the batch."""
        super().fail_all_calls()
        self._jobs.clear()
        self._stepping = False

    def _step(self) -> None:
        """Give each request its next token."""
        for job in list(self._jobs.values()):
            self._advance(job)
        if not self._jobs:
            self._stepping = False
            return
        self._call_later(self.get_step_s(), self._step)

    def get_step_s(self) -> float:
        """Return how long the next step takes."""
        return STEP_S + STEP_PER_RUNNING_S * len(self._jobs)

    def _advance(self, job: _Job) -> None:
        attempt = job.start.attempt
        job.left -= 1
        self.tokens += 1
        if not job.begun:
            job.begun = True
            self._send_response_head(job.start)
            self.listener.handle_response_data(attempt, b'first;')
        if job.left <= 0:
            del self._jobs[attempt]
            self._complete_call(job.start)


@dataclasses.dataclass(slots=True, kw_only=True)
class Demand:
    """Hold one request that a caller wants answered."""

    account: int
    tokens: int
    wanted_at: float
    sent: int = 0
    answered_at: float = 0.0


class Caller(exchanges.Exchange):
    """Note when the first byte came."""

    def __init__(self, request_id: str, body: bytes) -> None:
        super().__init__(request_id, body)
        self.first_at = 0.0
        self.now: collections.abc.Callable[[], float] = lambda: 0.0

    def put(self, event: dispatch.Event) -> None:
        """Hear an event."""
        if isinstance(event, dispatch.Data) and not self.first_at:
            self.first_at = self.now()
        super().put(event)


class ServiceRun:
    """Drive demands through the processes and collect what comes of it."""

    def __init__(
        self,
        seed: int,
        *,
        accounts: int = 10,
        targets_per_domain: int = 2,
        start_within_s: float = 0.85,
        queue_limit: int = 64,
        make_engine: collections.abc.Callable[..., BatchEngine] = BatchEngine,
    ) -> None:
        self.world = world_module.World(seed)
        self.accounts = accounts
        self.keys = [f'key-of-account-{index}' for index in range(accounts)]
        self.cluster = cluster_module.Cluster(
            self.world,
            entries_per_domain=2,
            chat_targets_per_domain=targets_per_domain,
            http_targets_per_domain=0,
            slots=SLOTS,
            make_engine=make_engine,
            make_exchange=Caller,
            queue_limit=queue_limit,
            initial_edits=self._declare(start_within_s),
        )
        self.first = report.Latencies()
        self.demands: list[Demand] = []
        self.done: collections.Counter[int] = collections.Counter()
        self.sent: collections.Counter[int] = collections.Counter()
        self.refused = 0
        self.attempts = 0
        self.lost = 0
        self.errors = 0

    @property
    def capacity(self) -> float:
        """Return the tokens a second of all targets together."""
        return TOKENS_PER_S * len(self.cluster.agents)

    def _declare(self, start_within_s: float) -> list[configuration.Edit]:
        service = {
            'kind': 'service',
            'name': declarations.CHAT_SERVICE,
            'schema': 1,
            'protocol': 'chat',
            'start_within_s': start_within_s,
            'end_within_s': 120,
            'long_tokens': 400,
        }
        limits = {'in_flight': 5000, 'requests_per_s': 5000, 'burst': 5000}
        accounts = [
            {
                'kind': 'client_account',
                'name': f'account-{index}',
                'schema': 2,
                'limits': limits,
                'keys': [{'digest': settings.compute_digest(key)}],
            }
            for index, key in enumerate(self.keys)
        ]
        return [
            declarations.make_edit(content, 0)
            for content in [service, *accounts]
        ]

    def start(self) -> None:
        """Start the processes and let them settle."""
        self.cluster.start_all()
        self.cluster.execution_listeners.append(self._note_run)

    def _note_run(self, run: engines.Execution) -> None:
        self.attempts += 1

    def send(self, demand: Demand) -> None:
        """Send a demand; it comes back as Retry-After tells it."""
        demand.sent += 1
        if demand.sent == 1:
            self.demands.append(demand)
        self.sent[demand.account] += 1
        text = f'{demand.account} {len(self.demands)} {demand.sent}'
        body = {
            'model': declarations.CHAT_SERVICE,
            'stream': True,
            'max_tokens': demand.tokens,
            'messages': [{'role': 'user', 'content': text}],
        }
        entry = self.world.rng.choice(self.cluster.get_live_entries())
        at = self.world.now
        exchange = self.cluster.send(
            entry,
            path='/v1/chat/completions',
            body=json.dumps(body).encode(),
            api_key=self.keys[demand.account],
        )
        exchange.now = lambda: self.world.now
        outer = exchange.on_end

        def end() -> None:
            outer()
            self._hear(demand, exchange, at)

        exchange.on_end = end

    def _hear(self, demand: Demand, exchange: Caller, at: float) -> None:
        if exchange.is_complete:
            assert exchange.head is not None
            self.errors += exchange.head.status >= 500
            demand.answered_at = self.world.now
            self.first.add(exchange.first_at - at)
            self.done[demand.account] += 1
            return
        failure = exchange.end_event
        assert isinstance(failure, dispatch.Failure)
        if failure.outcome is not wire.Outcome.NOT_RUN:
            self.lost += 1
        self.refused += 1
        wait_s = max(1.0, failure.retry_after_s)
        wait_s *= 1 + self.world.rng.random()
        self.world.schedule(wait_s, lambda: self.send(demand))

    def count_tokens(self) -> int:
        """Return the tokens that targets have made."""
        return sum(
            target.engine.tokens
            for target in self.cluster.targets.values()
            if isinstance(target.engine, BatchEngine)
        )

    def count_waiting(self) -> int:
        """Return the demands that have no answer yet."""
        return sum(not demand.answered_at for demand in self.demands)
