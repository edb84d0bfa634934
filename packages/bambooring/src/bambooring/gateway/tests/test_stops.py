"""Test what callers see of the planned stop of an entry instance.

The entry instance has real sockets on loopback and a manual clock. Callers
send requests of every kind at every moment of the time that it has to stop,
on new connections and on kept ones.
"""

import contextlib
import dataclasses
import functools
import random
import socket
import typing

import pytest

from bambooring.forwarding.tests import harness as forwarding_harness
from bambooring.gateway import entry
from bambooring.gateway import messages as gateway
from bambooring.policy import messages as policy
from bambooring.policy import state as policy_state
from bambooring.targets import messages as targets
from bambooring_core import clock as clock_module
from bambooring_core.http1 import server as http1_server
from bambooring_core import reactor as reactor_module

STEP_S = 0.01
TURNS_PER_STEP = 6
STOP_S = 8.0
# The bound on stopping: a request sent later than this after the signal must
# be answered; one that came before may still run in the last part.
EXCUSED_UNTIL_S = 3.0
EXCUSED_FROM_S = STOP_S * 5 / 6
ROUTE_TIMEOUT_S = 30.0
PATHS = ('read', 'book', 'talk', 'huge')
# How long targets take, and the callers' time budgets, in seconds.
DURATIONS_S = (0.0, 0.3, 2.0, 6.0, 20.0)
BUDGETS_S = (0.4, 2.5, 29.0)
UNREACHABLE_SEED = '127.0.0.1:1'
HUGE_BODY = b'h' * 400_000

POLICY = policy.Policy(
    version=1,
    routes=[
        forwarding_harness.make_route(
            name, kind, timeout_s=ROUTE_TIMEOUT_S, first_byte_objective_s=40.0
        )
        for name, kind in (
            ('read', policy.RouteKind.IDEMPOTENT),
            ('book', policy.RouteKind.NON_IDEMPOTENT),
            ('talk', policy.RouteKind.STREAM),
            ('huge', policy.RouteKind.NON_IDEMPOTENT),
        )
    ],
    services=[],
    accounts=[],
    limits=policy.CallerLimits(
        max_header_bytes=4096,
        max_body_bytes=10_000,
        header_timeout_s=3.0,
        idle_timeout_s=15.0,
    ),
)


class NestedReactor(reactor_module.Reactor):
    """A reactor that the test turns; ``run`` starts the test."""

    def __init__(self, clock):
        super().__init__(clock)
        self.test: typing.Callable[[], None] = lambda: None

    def run(self) -> None:
        """Run the test."""
        self.test()

    @property
    def is_stopping(self):
        """Return whether the process has ended the reactor."""
        return self._is_stopping

    def turn(self):
        """Run what is due, without waiting."""
        for _ in range(TURNS_PER_STEP):
            self.call_soon(lambda: None)
            self.run_once()


@dataclasses.dataclass(slots=True, kw_only=True)
class Sent:
    """A request, and what its caller got until the connection ended."""

    id: str
    path: str
    sent_s: float
    budget_s: float
    data: bytearray
    ended_s: float = 0.0
    is_kept: bool = False

    @property
    def status(self):
        """Return the status of a complete response, else 0."""
        data = bytes(self.data)
        if not forwarding_harness.is_complete(data):
            return 0
        return int(data.split()[1])

    @property
    def should_close(self):
        """Return whether the response says that the connection closes."""
        return b'connection: close' in bytes(self.data).lower()


class Caller:
    """Send one request after another, on a kept connection if possible."""

    def __init__(self, world, name, rng):
        self._world = world
        self._name = name
        self._rng = rng
        self._sock: socket.socket | None = None
        self._next_s = rng.uniform(0.0, 1.0)
        self.requests: list[Sent] = []
        self._current: Sent | None = None

    def step(self, now_s):
        """Read what came, and send the next request when it is due."""
        if self._sock is not None:
            self._receive()
        if self._current is None and now_s >= self._next_s:
            self._send(now_s)
            self._next_s = now_s + self._rng.choice((0.02, 0.2, 0.6))

    def _send(self, now_s):
        is_kept = self._sock is not None
        if self._sock is None:
            try:
                self._sock = socket.create_connection(
                    ('127.0.0.1', self._world.port)
                )
            except ConnectionRefusedError:
                self._next_s = float('inf')
                return
            self._sock.setblocking(False)
        path = self._rng.choice(PATHS)
        budget_s = self._rng.choice(BUDGETS_S)
        request = Sent(
            id=f'{self._name}-{len(self.requests)}',
            path=path,
            sent_s=now_s,
            budget_s=budget_s,
            data=bytearray(),
            is_kept=is_kept,
        )
        head = (
            f'POST /{path}/{self._rng.choice(DURATIONS_S)} HTTP/1.1\r\n'
            f'Host: h\r\nId: {request.id}\r\n'
            f'Left: {budget_s}\r\n'
            'Content-Length: 2\r\n\r\nhi'
        )
        self.requests.append(request)
        self._current = request
        with contextlib.suppress(OSError):
            self._sock.sendall(head.encode())

    def _receive(self):
        assert self._sock is not None
        data = None
        with contextlib.suppress(BlockingIOError):
            try:
                data = self._sock.recv(1_000_000)
            except ConnectionError:
                data = b''
        if data and self._current is not None:
            self._current.data += data
        is_closed = data == b''
        if is_closed or (self._current is not None and self._current.status):
            if self._current is not None:
                self._current.ended_s = self._world.clock.now()
                is_closed = is_closed or self._current.should_close
            self._current = None
        if is_closed:
            self._sock.close()
            self._sock = None

    def read_rest(self):
        """Read what is left once the process has ended."""
        while self._sock is not None and self._current is not None:
            self._receive()
        if self._sock is not None:
            self._sock.close()


class World:
    """An entry instance that is told to stop, its target and its callers."""

    def __init__(self, stack, seed, caller_count, slots=40):
        self.clock = clock_module.ManualClock()
        self.reactor = stack.enter_context(NestedReactor(self.clock))
        self.runs: dict[str, float] = {}
        self.handled: set[str] = set()
        self.finished_s: dict[str, float] = {}
        target_server = stack.enter_context(
            http1_server.Server(
                reactor=self.reactor,
                address='127.0.0.1:0',
                limits=forwarding_harness.LIMITS,
                handle=self._handle,
                count_refused=lambda reason: None,
            )
        )
        rng = random.Random(seed)
        self.entry = entry.GatewayEntry(
            _make_settings(),
            reactor=self.reactor,
            dialect=forwarding_harness.Dialect(),
            incarnation=1,
            lease_clock=self.clock,
        )
        self.entry.forwarder.policy_table = policy_state.PolicyTable(POLICY)
        self._watch_handled()
        self.entry._balancer.set_targets(
            [_make_target(target_server.port, slots=slots)]
        )
        self.callers = [
            Caller(self, f'c{index}', rng) for index in range(caller_count)
        ]
        self.left_s = 0.0

    def _watch_handled(self):
        server = self.entry._caller_server
        handle = server.handle

        def record_and_handle(exchange):
            self.handled.add(exchange.request.get(b'id').decode())
            handle(exchange)

        server.handle = record_and_handle

    @property
    def port(self):
        """Return the port for callers."""
        return self.entry._caller_server.port

    def _handle(self, exchange):
        """Run a request for as long as its path says."""
        request_id = exchange.request.get(b'id').decode()
        assert request_id not in self.runs
        self.runs[request_id] = self.clock.now()
        _, path, duration = exchange.request.target.split('/')
        if path == 'talk':
            exchange.start(
                200,
                forwarding_harness.make_headers(exchange, (b'Stream', b'1')),
            )
            exchange.write(forwarding_harness.make_events(1, 1))
        self.reactor.call_later(
            float(duration),
            functools.partial(self._respond, exchange, request_id, path),
        )

    def _respond(self, exchange, request_id, path):
        if exchange.is_done:
            return
        self.finished_s[request_id] = self.clock.now()
        if path == 'talk':
            exchange.write(forwarding_harness.make_events(2, 2))
            exchange.end()
            return
        body = HUGE_BODY if path == 'huge' else b'whole'
        exchange.respond(200, forwarding_harness.make_headers(exchange), body)

    def play(self, before_s=1.5, is_reloading=False):
        """Let callers send for a while, then stop the entry instance.

        :param before_s: when it is told to stop
        :param is_reloading: whether it also reloads its settings at each step
        """
        is_left = False
        while not self.reactor.is_stopping:
            now_s = self.clock.now()
            if now_s >= before_s and not is_left:
                is_left = True
                self.left_s = now_s
                self.entry.leave()
            assert now_s < before_s + STOP_S, 'still runs'
            for caller in self.callers:
                caller.step(now_s)
            if is_reloading:
                self.entry.connect_seeds([UNREACHABLE_SEED])
            self.reactor.turn()
            self.clock.advance(STEP_S)

    def check(self):
        """Check what each caller got; return how often each thing came."""
        counts: dict[typing.Any, int] = {}
        for caller in self.callers:
            caller.read_rest()
            for request in caller.requests:
                result = self._check_request(request)
                counts[result] = counts.get(result, 0) + 1
        return counts

    def _check_request(self, request):
        has_run = request.id in self.runs
        sent_s = request.sent_s - self.left_s
        details = (request, sent_s, has_run)
        if request.status == 503:
            assert not has_run, details
            assert b'retry-after' in request.data.lower(), details
        if request.status:
            assert request.status in (200, 502, 503, 504), details
            if request.sent_s > self.left_s + STEP_S:
                assert request.should_close, details
            if request.status == 502:
                assert self._is_excused(request), details
            return request.status
        if request.id not in self.handled:
            # It crossed the close of its connection and was never read.
            return 'unread'
        assert has_run, details
        assert self._is_excused(request), details
        return 'cut'

    def _is_excused(self, request):
        """Return whether a request may have run in vain.

        Its budget has run out, or it came before its caller could know of the
        stop and still ran in the last part of it.
        """
        if request.ended_s >= request.sent_s + request.budget_s - 5 * STEP_S:
            return True
        sent_s = request.sent_s - self.left_s
        if sent_s > EXCUSED_UNTIL_S:
            return False
        end_s = self.finished_s.get(request.id, float('inf')) - self.left_s
        return end_s >= EXCUSED_FROM_S


def _make_settings():
    with contextlib.ExitStack() as stack:
        sock = stack.enter_context(socket.create_server(('127.0.0.1', 0)))
        address = f'127.0.0.1:{sock.getsockname()[1]}'
    return gateway.Settings(
        role='entry',
        cluster='test',
        instance=address,
        failure_domain='a',
        link_address=address,
        seeds=[],
        may_bootstrap=False,
        callers_address='127.0.0.1:0',
        ready_address='127.0.0.1:0',
        stop_s=STOP_S,
    )


def _make_target(port, slots):
    return targets.Target(
        id='t0',
        service='app',
        address=f'127.0.0.1:{port}',
        failure_domain='a',
        slots=slots,
        state=targets.State.READY,
        born_ms=1,
        sequence=1,
    )


@pytest.fixture
def play():
    """Return a function that plays a stop and returns what callers got."""

    def run(seed, caller_count=40, slots=40, **options):
        with contextlib.ExitStack() as stack:
            world = World(stack, seed, caller_count, slots)
            world.reactor.test = functools.partial(world.play, **options)
            world.entry.run()
            return world.check()

    return run


# In a planned stop, requests that came late were passed on and then cut off.
@pytest.mark.parametrize('slots', [40, 8])
@pytest.mark.parametrize('seed', range(2))
def test_request_that_comes_late_is_answered_or_refused(play, seed, slots):
    """Whatever is passed on late is answered; the rest is refused unrun."""
    counts = play(seed, slots=slots)
    assert counts[200] > 20
    assert counts[503] > 20


def test_reload_during_a_stop(play):
    """A reload of the settings changes nothing of what callers see."""
    counts = play(7, is_reloading=True)
    assert counts[200] > 20
    assert counts[503] > 20
