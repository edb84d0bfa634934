"""Simulate targets with continuous batching and measure the latencies.

A step takes longer the more requests run; each running request gets one
token per step. The agents, entry instances and control replicas are the real
ones and run in simulated time.
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

SLOTS_PER_TARGET = 16
BASE_STEP_S = 0.020
STEP_PER_REQUEST_S = 0.001
PREFILL_S = 0.03
FULL_BATCH_STEP_S = BASE_STEP_S + SLOTS_PER_TARGET * STEP_PER_REQUEST_S
TARGET_TOKENS_PER_S = SLOTS_PER_TARGET / FULL_BATCH_STEP_S


@dataclasses.dataclass(slots=True, kw_only=True)
class _BatchedRequest:
    """Request in the batch of a target, with the tokens left to generate."""

    start: wire.Start
    tokens_left: int
    has_started: bool = False


class BatchEngine(engines.SimEngine):
    """Simulated engine that runs all requests of a target in one batch.

    ``generated_tokens`` counts the tokens of all requests since the start.
    """

    def __init__(self, **options: typing.Any) -> None:
        super().__init__(**options)
        self._batch: dict[int, _BatchedRequest] = {}
        self._is_stepping = False
        self.generated_tokens = 0

    def call(self, start: wire.Start) -> None:
        """Add an attempt to the batch."""
        if not self.target.is_alive:
            self._schedule_failure(start, wire.Outcome.NOT_RUN, 'unreachable')
            return
        self.target.cluster.record_execution(self.target, start)
        self._running_calls[start.attempt] = start
        max_tokens = json.loads(start.body).get('max_tokens', 1)
        self._batch[start.attempt] = _BatchedRequest(
            start=start, tokens_left=max_tokens
        )
        if not self._is_stepping:
            self._is_stepping = True
            self._call_later(PREFILL_S, self._run_step)

    def abort(self, attempt: int) -> None:
        """Remove an attempt from the batch."""
        super().abort(attempt)
        self._batch.pop(attempt, None)

    def fail_all_calls(self) -> None:
        """Drop the batch, as when the target crashes."""
        super().fail_all_calls()
        self._batch.clear()
        self._is_stepping = False

    def _run_step(self) -> None:
        """Generate one token for each request and schedule the next step."""
        for request in list(self._batch.values()):
            self._generate_token(request)
        if not self._batch:
            self._is_stepping = False
            return
        self._call_later(self.get_step_duration_s(), self._run_step)

    def get_step_duration_s(self) -> float:
        """Return the duration of the next step."""
        return BASE_STEP_S + STEP_PER_REQUEST_S * len(self._batch)

    def _generate_token(self, request: _BatchedRequest) -> None:
        attempt = request.start.attempt
        request.tokens_left -= 1
        self.generated_tokens += 1
        if not request.has_started:
            request.has_started = True
            self._send_response_head(request.start)
            self.listener.handle_response_data(attempt, b'first;')
        if request.tokens_left <= 0:
            del self._batch[attempt]
            self._complete_call(request.start)


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerRequest:
    """Request that a caller sends until it is answered.

    ``arrival_offset_s`` is the first sending, in seconds from the start of
    the load. ``answered_s`` is the simulated time of the complete response, 0
    before it.
    """

    account_index: int
    tokens: int
    arrival_offset_s: float
    send_count: int = 0
    answered_s: float = 0.0


class TimedExchange(exchanges.Exchange):
    """Exchange that records the time of the first data.

    ``first_byte_s`` is the simulated time in seconds, 0 before the data.
    """

    def __init__(self, request_id: str, body: bytes) -> None:
        super().__init__(request_id, body)
        self.first_byte_s = 0.0
        self.get_time: collections.abc.Callable[[], float] = lambda: 0.0

    def put(self, event: dispatch.Event) -> None:
        """Record the time of the first data and handle the event."""
        if isinstance(event, dispatch.Data) and not self.first_byte_s:
            self.first_byte_s = self.get_time()
        super().put(event)


class ServiceRun:
    """Cluster with batching targets, and the requests sent to it.

    ``first_token_latencies`` covers answered requests only, from their last
    sending. ``refusal_count`` counts failed sendings, ``lost_count`` those of
    them that a target may have run, ``server_error_count`` complete responses
    with a 5xx status.

    :param seed: random seed of the simulation
    :param account_count: number of client accounts
    :param targets_per_domain: number of targets in each failure domain
    :param start_within_s: time limit for the start of a request
    :param queue_limit: queue limit of each agent
    :param make_engine: factory of the simulated engines
    """

    def __init__(
        self,
        seed: int,
        *,
        account_count: int = 10,
        targets_per_domain: int = 2,
        start_within_s: float = 0.85,
        queue_limit: int = 64,
        make_engine: collections.abc.Callable[..., BatchEngine] = BatchEngine,
    ) -> None:
        self.world = world_module.World(seed)
        self.account_count = account_count
        self.api_keys = [
            f'key-of-account-{index}' for index in range(account_count)
        ]
        self.cluster = cluster_module.Cluster(
            self.world,
            entries_per_domain=2,
            chat_targets_per_domain=targets_per_domain,
            http_targets_per_domain=0,
            slots=SLOTS_PER_TARGET,
            make_engine=make_engine,
            make_exchange=TimedExchange,
            queue_limit=queue_limit,
            initial_edits=self._make_declarations(start_within_s),
        )
        self.first_token_latencies = report.Latencies()
        self.requests: list[CallerRequest] = []
        self.answers_by_account: collections.Counter[int] = (
            collections.Counter()
        )
        self.sends_by_account: collections.Counter[int] = collections.Counter()
        self.refusal_count = 0
        self.attempt_count = 0
        self.lost_count = 0
        self.server_error_count = 0

    @property
    def capacity_tokens_per_s(self) -> float:
        """Return the tokens per second of all targets together."""
        return TARGET_TOKENS_PER_S * len(self.cluster.agents)

    def _make_declarations(
        self, start_within_s: float
    ) -> list[configuration.Edit]:
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
            for index, key in enumerate(self.api_keys)
        ]
        return [
            declarations.make_edit(content, 0)
            for content in [service, *accounts]
        ]

    def start(self) -> None:
        """Start the processes, wait for the configuration, count attempts."""
        self.cluster.start_all()
        self.cluster.execution_listeners.append(self._count_attempt)

    def _count_attempt(self, execution: engines.Execution) -> None:
        self.attempt_count += 1

    def send_request(self, request: CallerRequest) -> None:
        """Send a request, and again after the Retry-After time if it fails."""
        request.send_count += 1
        if request.send_count == 1:
            self.requests.append(request)
        self.sends_by_account[request.account_index] += 1
        text = (
            f'{request.account_index} {len(self.requests)}'
            f' {request.send_count}'
        )
        body = {
            'model': declarations.CHAT_SERVICE,
            'stream': True,
            'max_tokens': request.tokens,
            'messages': [{'role': 'user', 'content': text}],
        }
        entry = self.world.rng.choice(self.cluster.get_live_entries())
        sent_s = self.world.now
        exchange = self.cluster.send(
            entry,
            path='/v1/chat/completions',
            body=json.dumps(body).encode(),
            api_key=self.api_keys[request.account_index],
        )
        exchange.get_time = lambda: self.world.now
        on_exchange_end = exchange.on_end

        def handle_end() -> None:
            on_exchange_end()
            self._handle_exchange_end(request, exchange, sent_s)

        exchange.on_end = handle_end

    def _handle_exchange_end(
        self, request: CallerRequest, exchange: TimedExchange, sent_s: float
    ) -> None:
        if exchange.is_complete:
            assert exchange.head is not None
            self.server_error_count += exchange.head.status >= 500
            request.answered_s = self.world.now
            self.first_token_latencies.add(exchange.first_byte_s - sent_s)
            self.answers_by_account[request.account_index] += 1
            return
        failure = exchange.end_event
        assert isinstance(failure, dispatch.Failure)
        if failure.outcome is not wire.Outcome.NOT_RUN:
            self.lost_count += 1
        self.refusal_count += 1
        wait_s = max(1.0, failure.retry_after_s)
        wait_s *= 1 + self.world.rng.random()
        self.world.schedule(wait_s, lambda: self.send_request(request))

    def count_generated_tokens(self) -> int:
        """Return the number of tokens that the targets have generated."""
        return sum(
            target.engine.generated_tokens
            for target in self.cluster.targets.values()
            if isinstance(target.engine, BatchEngine)
        )

    def count_unanswered(self) -> int:
        """Return the number of requests that have no complete response."""
        return sum(not request.answered_s for request in self.requests)
