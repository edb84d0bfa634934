"""Carry requests over loopback sockets to targets that fail in many ways."""

import contextlib
import random
import socket

import pytest

from bambooring.balancing import state as balancing
from bambooring.forwarding import messages
from bambooring.forwarding import task
from bambooring.policy import lease as lease_module
from bambooring.policy import messages as policy
from bambooring.policy import state as policy_state
from bambooring.routing import budget as budget_module
from bambooring.targets import messages as targets
from bambooring_core import clock as clock_module
from bambooring_core.http1 import messages as http1
from bambooring_core.http1 import server as http1_server
from bambooring_core import reactor as reactor_module

TURNS = 3000
LIMITS = http1.Limits(
    max_header_bytes=4096,
    max_body_bytes=10_000,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)


class Dialect:
    """Speak a plain protocol: the path names the kind, headers the rest."""

    def read_request(self, request):
        """Decode a caller's request."""
        return messages.CallerRequest(
            attempt_id=(request.get(b'id') or b'').decode(),
            method=request.method,
            request_target=request.target,
            host='h',
            path=request.target,
            api_key=None,
            time_left_s=float(request.get(b'left') or b'5'),
            last_event_id=None,
            tokens=1,
            headers=request.headers,
            body=request.body,
        )

    def write_attempt_headers(self, request, metadata):
        """Return the headers for a target."""
        return [
            (b'Host', b'h'),
            (b'Id', request.attempt_id.encode()),
            (b'Target', metadata.target_id.encode()),
            (b'Last', str(metadata.last_event_id or 0).encode()),
            (b'Content-Length', str(len(request.body)).encode()),
        ]

    def read_response_head(self, head):
        """Decode the head of a target's response."""
        values = {name.lower(): value for name, value in head.headers}
        return messages.TargetResponse(
            status=head.status,
            headers=[
                (name, value)
                for name, value in head.headers
                if name.lower()
                not in (b'content-length', b'transfer-encoding')
            ],
            attempt_id=values.get(b'id', b'').decode(),
            is_refused=b'not-run' in values,
            is_misdirected=b'other' in values,
            is_signed=b'signed' in values,
            is_encoded=False,
            is_stream=b'stream' in values,
            faulty_target='',
        )

    def read_policy(self, document):
        """Refuse what no test asks for."""
        raise NotImplementedError

    def read_control_call(self, request):
        """Refuse what no test asks for."""
        raise NotImplementedError


def _make_route(name, kind, **changes):
    values = {
        'name': name,
        'host': 'h',
        'path_prefix': f'/{name}/',
        'kind': kind,
        'services': [policy.WeightedService(service='app', weight=1)],
        'timeout_s': 5.0,
        'first_byte_objective_s': 0.5,
        'priority': 0,
        'max_attempts': 2,
        'is_anonymous': True,
        'is_resumable': False,
        'max_event_gap_s': 0.12,
    } | changes
    return policy.Route(**values)


POLICY = policy.Policy(
    version=1,
    routes=[
        _make_route('read', policy.RouteKind.IDEMPOTENT),
        _make_route('book', policy.RouteKind.NON_IDEMPOTENT),
        _make_route('talk', policy.RouteKind.STREAM, is_resumable=True),
    ],
    services=[],
    accounts=[],
    limits=policy.CallerLimits(
        max_header_bytes=1,
        max_body_bytes=1,
        header_timeout_s=1,
        idle_timeout_s=1,
    ),
)


class Target:
    """Stand in for a target that answers by a script."""

    def __init__(self, script):
        self.script = script
        self.runs = []
        self.gone = 0

    def handle(self, exchange):
        """Take a request and act on it."""
        exchange.on_gone = self._note_gone
        self.script(self, exchange)

    def _note_gone(self):
        self.gone += 1

    def run(self, exchange):
        """Take note that a request runs here."""
        self.runs.append(exchange.request.get(b'id'))


def _headers(exchange, *more):
    return [(b'Id', exchange.request.get(b'id')), (b'Signed', b'1'), *more]


def answer(target, exchange):
    """Run a request and answer it."""
    target.run(exchange)
    exchange.respond(200, _headers(exchange), b'whole')


def refuse(target, exchange):
    """Prove that a request is not run."""
    exchange.respond(503, [(b'Not-Run', b'1')], b'')


def lose_answer(target, exchange):
    """Run a request and reset the channel."""
    target.run(exchange)
    exchange.abort()


def cut_answer(target, exchange):
    """Run a request and break off in the middle of the answer."""
    target.run(exchange)
    exchange.start(200, _headers(exchange, (b'Content-Length', b'50')))
    exchange.write(b'part')
    exchange.abort()


def forge_answer(target, exchange):
    """Answer with the id of another request."""
    target.run(exchange)
    exchange.respond(200, [(b'Id', b'other'), (b'Signed', b'1')], b'wrong')


def fail(target, exchange):
    """Run a request to a failure of its own."""
    target.run(exchange)
    exchange.respond(500, _headers(exchange), b'failed')


def hang(target, exchange):
    """Run a request for ever."""
    target.run(exchange)


def _events(first, last):
    return b''.join(b'id: %d\ndata: x\n\n' % n for n in range(first, last + 1))


def stream(target, exchange):
    """Answer with the events that the caller doesn't have."""
    target.run(exchange)
    last = int(exchange.request.get(b'last'))
    exchange.start(200, _headers(exchange, (b'Stream', b'1')))
    exchange.write(_events(last + 1, 9))
    exchange.end()


def cut_stream(target, exchange):
    """Break off a stream in the middle of an event."""
    target.run(exchange)
    exchange.start(200, _headers(exchange, (b'Stream', b'1')))
    exchange.write(_events(1, 4) + b'id: 5\nda')
    target.cut = exchange


class Stage:
    """Hold an entry's forwarder between callers and targets."""

    def __init__(self, stack, *scripts):
        self.reactor = stack.enter_context(reactor_module.Reactor())
        self.targets = [Target(script) for script in scripts]
        self.balancer = balancing.Balancer('a', random.Random(1))
        self.forwarder = task.Forwarder(
            reactor=self.reactor,
            dialect=Dialect(),
            balancer=self.balancer,
            lease=lease_module.Lease(4.0),
            lease_clock=clock_module.ManualClock(),
            budget=budget_module.RetryBudget(
                0.0, initial_tokens=50, capacity=50
            ),
            rng=random.Random(1),
            schedule_load_report=lambda delay_s: None,
        )
        self.forwarder.policy_table = policy_state.PolicyTable(POLICY)
        self.callers = self.serve(stack, self.forwarder.handle)
        self.servers = [
            self.serve(stack, target.handle) for target in self.targets
        ]
        self.balancer.set_targets(self._describe())

    def serve(self, stack, handle):
        """Listen on a port of its own."""
        server = http1_server.Server(
            reactor=self.reactor,
            address='127.0.0.1:0',
            limits=LIMITS,
            handle=handle,
            count_refused=lambda reason: None,
        )
        return stack.enter_context(server)

    def _describe(self):
        for index, server in enumerate(self.servers):
            yield targets.Target(
                id=f't{index}',
                service='app',
                address=f'127.0.0.1:{server.port}',
                failure_domain='a' if index == 0 else 'b',
                slots=4,
                state=targets.State.READY,
                born_ms=1,
                sequence=1,
            )

    def call(self, path, left=b'5'):
        """Send a request; return its socket."""
        sock = socket.create_connection(('127.0.0.1', self.callers.port))
        sock.setblocking(False)
        sock.send(
            b'POST %b HTTP/1.1\r\nHost: h\r\nId: 7\r\nLeft: %b\r\n'
            b'Content-Length: 2\r\n\r\nhi' % (path, left)
        )
        return sock

    def turn_until(self, condition):
        """Let the reactor turn until a condition holds."""
        for _ in range(TURNS):
            if condition():
                return
            self.reactor.call_later(0.001, lambda: None)
            self.reactor.turn()
        raise AssertionError('nothing happened')

    def read(self, sock):
        """Return all that comes until the caller has its answer."""
        data = bytearray()
        ended = []

        def take():
            with contextlib.suppress(BlockingIOError):
                try:
                    part = sock.recv(65536)
                except ConnectionResetError:
                    ended.append('reset')
                    return True
                data.extend(part)
            return not self.forwarder.pending_count and _is_whole(bytes(data))

        self.turn_until(take)
        sock.close()
        return bytes(data), bool(ended)

    @property
    def runs(self):
        """Return how often the request ran, over all targets."""
        return sum(len(target.runs) for target in self.targets)


def _is_whole(data):
    head, mark, body = data.partition(b'\r\n\r\n')
    if not mark:
        return False
    if b'chunked' in head.lower():
        return body.endswith(b'0\r\n\r\n')
    length = head.lower().split(b'content-length: ')[1].split(b'\r\n')[0]
    return len(body) >= int(length)


@pytest.fixture
def stage_with():
    """Make a stage with targets of some scripts; the first is nearest."""
    with contextlib.ExitStack() as stack:
        yield lambda *scripts: Stage(stack, *scripts)


@pytest.mark.parametrize(
    'fault', [refuse, lose_answer, cut_answer, forge_answer]
)
def test_read_is_tried_elsewhere(stage_with, fault):
    """What may be repeated gets its answer from another target."""
    stage = stage_with(fault, answer)
    data, _ = stage.read(stage.call(b'/read/1'))
    assert data.startswith(b'HTTP/1.1 200')
    assert data.endswith(b'whole')
    assert stage.targets[1].runs == [b'7']


@pytest.mark.parametrize('path', [b'/read/1', b'/book/1'])
def test_own_failure_is_passed_on(stage_with, path):
    """A request that ran and failed is never called not run."""
    stage = stage_with(fail)
    data, _ = stage.read(stage.call(path))
    assert data.startswith(b'HTTP/1.1 500')
    assert data.endswith(b'failed')
    assert stage.runs == 1


def test_failed_read_is_tried_elsewhere(stage_with):
    """Another target may do better than one that failed."""
    stage = stage_with(fail, answer)
    data, _ = stage.read(stage.call(b'/read/1'))
    assert data.startswith(b'HTTP/1.1 200')
    assert stage.runs == 2


@pytest.mark.parametrize('fault', [lose_answer, cut_answer, forge_answer])
def test_booking_runs_at_most_once(stage_with, fault):
    """What may have run is not sent again, and isn't called not run."""
    stage = stage_with(fault, answer)
    data, _ = stage.read(stage.call(b'/book/1'))
    assert data.startswith(b'HTTP/1.1 502')
    assert b'Retry-After' not in data
    assert stage.runs == 1


def test_booking_moves_on_when_refused(stage_with):
    """A proof of not having run allows another offer."""
    stage = stage_with(refuse, answer)
    data, _ = stage.read(stage.call(b'/book/1'))
    assert data.startswith(b'HTTP/1.1 200')
    assert stage.runs == 1


def test_refused_everywhere_says_when_to_return(stage_with):
    """A request that nobody runs is answered 503 with Retry-After."""
    stage = stage_with(refuse, refuse)
    data, _ = stage.read(stage.call(b'/book/1', left=b'0.8'))
    assert data.startswith(b'HTTP/1.1 503')
    assert b'Retry-After' in data
    assert stage.runs == 0


def test_timeout_breaks_the_work_off(stage_with):
    """At the deadline the caller gets 504 and the target's channel ends."""
    stage = stage_with(hang)
    data, _ = stage.read(stage.call(b'/book/1', left=b'0.1'))
    assert data.startswith(b'HTTP/1.1 504')
    stage.turn_until(lambda: stage.targets[0].gone)


def test_caller_that_leaves_ends_the_work(stage_with):
    """A target hears at once that the caller has gone."""
    stage = stage_with(hang)
    sock = stage.call(b'/talk/1')
    stage.turn_until(lambda: stage.runs)
    sock.close()
    stage.turn_until(lambda: stage.targets[0].gone)
    assert not stage.forwarder.pending_count


def test_stream_is_resumed_in_mid_event(stage_with):
    """A stream that breaks goes on at another target without a seam."""
    stage = stage_with(cut_stream, stream)
    sock = stage.call(b'/talk/1')
    stage.turn_until(lambda: hasattr(stage.targets[0], 'cut'))
    for _ in range(50):
        stage.reactor.call_later(0.001, lambda: None)
        stage.reactor.turn()
    stage.targets[0].cut.abort()
    data, was_reset = stage.read(sock)
    assert not was_reset
    assert data.count(b'id: ') == 9
    assert [data.count(b'id: %d\n' % n) for n in range(1, 10)] == [1] * 9


def test_stream_nobody_resumes_looks_broken(stage_with):
    """A stream that can't go on ends in a reset, never in an end."""
    stage = stage_with(cut_stream)
    sock = stage.call(b'/talk/1')
    stage.turn_until(lambda: hasattr(stage.targets[0], 'cut'))
    for _ in range(50):
        stage.reactor.call_later(0.001, lambda: None)
        stage.reactor.turn()
    stage.targets[0].cut.abort()
    data, was_reset = stage.read(sock)
    assert was_reset
    assert not data.endswith(b'0\r\n\r\n')


def test_stopping_process_answers_everyone(stage_with):
    """What still runs when the process ends gets its final answer."""
    stage = stage_with(hang)
    sock = stage.call(b'/book/1')
    stage.turn_until(lambda: stage.runs)
    stage.forwarder.stop_all()
    data, _ = stage.read(sock)
    assert data.startswith(b'HTTP/1.1 502')
