"""Forward requests over loopback sockets to targets that fail."""

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

MAX_TURNS = 3000
LIMITS = http1.Limits(
    max_header_bytes=4096,
    max_body_bytes=10_000,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)


class Dialect:
    """A minimal protocol: the path selects the route, headers do the rest."""

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
            prompt_tokens=1,
            prompt_parts=tuple(
                (request.get(b'parts') or b'').decode().split()
            ),
            headers=request.headers,
            body=request.body,
        )

    def write_attempt_headers(self, request, metadata):
        """Return the headers of the request that a target receives."""
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
        """Fail, since no test needs it."""
        raise NotImplementedError

    def read_control_call(self, request):
        """Fail, since no test needs it."""
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


class _OffsetClock:
    """The real time plus what a test adds to skip over a silence."""

    def __init__(self, offset):
        self._offset = offset
        self._clock = clock_module.MonotonicClock()

    def now(self):
        """Return the time in seconds."""
        return self._clock.now() + self._offset.now()


class ScriptedTarget:
    """A target that responds as a function of this module says.

    ``runs`` holds the attempt ids of the requests that ran.
    """

    def __init__(self, script):
        self.script = script
        self.runs = []
        self.disconnects = 0

    def handle(self, exchange):
        """Respond to a request by the script."""
        exchange.on_disconnect = self._count_disconnect
        self.script(self, exchange)

    def _count_disconnect(self):
        self.disconnects += 1

    def record_run(self, exchange):
        """Record that a request runs here."""
        self.runs.append(exchange.request.get(b'id'))


def _make_headers(exchange, *more):
    return [(b'Id', exchange.request.get(b'id')), (b'Signed', b'1'), *more]


def respond_with_success(target, exchange):
    """Run a request and respond with success."""
    target.record_run(exchange)
    exchange.respond(200, _make_headers(exchange), b'whole')


def refuse(target, exchange):
    """Respond that the request has not run."""
    exchange.respond(503, [(b'Not-Run', b'1')], b'')


def reset_connection(target, exchange):
    """Run a request and reset the connection."""
    target.record_run(exchange)
    exchange.abort()


def cut_response(target, exchange):
    """Run a request and reset the connection in mid-response."""
    target.record_run(exchange)
    exchange.start(200, _make_headers(exchange, (b'Content-Length', b'50')))
    exchange.write(b'part')
    exchange.abort()


def respond_with_wrong_id(target, exchange):
    """Run a request and respond with the id of another request."""
    target.record_run(exchange)
    exchange.respond(200, [(b'Id', b'other'), (b'Signed', b'1')], b'wrong')


def respond_with_error(target, exchange):
    """Run a request and respond with a server error."""
    target.record_run(exchange)
    exchange.respond(500, _make_headers(exchange), b'failed')


def hang(target, exchange):
    """Run a request and never respond."""
    target.record_run(exchange)


def stall_stream(target, exchange):
    """Run a request and send some events, then single bytes when told to."""
    cut_stream(target, exchange)


def send_slowly(target, exchange):
    """Run a request and send an event whenever the test says so."""
    target.record_run(exchange)
    exchange.start(200, _make_headers(exchange, (b'Stream', b'1')))
    target.next_event = int(exchange.request.get(b'last')) + 1
    target.slow_exchange = exchange
    send_next_event(target)


def send_next_event(target):
    """Send the next event of a slow stream."""
    target.slow_exchange.write(
        _make_events(target.next_event, target.next_event)
    )
    target.next_event += 1


def send_endless_event(target, exchange):
    """Run a request and send whole events, then one without an end."""
    target.record_run(exchange)
    exchange.start(200, _make_headers(exchange, (b'Stream', b'1')))
    exchange.write(_make_events(1, 4) + b'data: ' + b'x' * 200_000)


def _make_events(first_id, last_id):
    return b''.join(
        b'id: %d\ndata: x\n\n' % event_id
        for event_id in range(first_id, last_id + 1)
    )


def send_stream(target, exchange):
    """Run a request and send the events that the caller doesn't have."""
    target.record_run(exchange)
    last = int(exchange.request.get(b'last'))
    exchange.start(200, _make_headers(exchange, (b'Stream', b'1')))
    exchange.write(_make_events(last + 1, 9))
    exchange.end()


def cut_stream(target, exchange):
    """Run a request and stop sending in the middle of an event."""
    target.record_run(exchange)
    exchange.start(200, _make_headers(exchange, (b'Stream', b'1')))
    exchange.write(_make_events(1, 4) + b'id: 5\nda')
    target.cut_exchange = exchange


class Harness:
    """A forwarder with a server for callers and with scripted targets."""

    def __init__(self, stack, *scripts):
        self.clock = clock_module.ManualClock()
        self.reactor = stack.enter_context(
            reactor_module.Reactor(_OffsetClock(self.clock))
        )
        self.targets = [ScriptedTarget(script) for script in scripts]
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
        self.caller_server = self.serve(stack, self.forwarder.handle)
        self.target_servers = [
            self.serve(stack, target.handle) for target in self.targets
        ]
        self.balancer.set_targets(self._make_targets())

    def serve(self, stack, handle):
        """Start a server on a free port."""
        server = http1_server.Server(
            reactor=self.reactor,
            address='127.0.0.1:0',
            limits=LIMITS,
            handle=handle,
            count_refused=lambda reason: None,
        )
        return stack.enter_context(server)

    def _make_targets(self):
        for index, server in enumerate(self.target_servers):
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

    def send_request(self, path, time_left=b'5'):
        """Send a request and return its socket."""
        sock = socket.create_connection(('127.0.0.1', self.caller_server.port))
        sock.setblocking(False)
        sock.send(
            b'POST %b HTTP/1.1\r\nHost: h\r\nId: 7\r\nLeft: %b\r\n'
            b'Content-Length: 2\r\n\r\nhi' % (path, time_left)
        )
        return sock

    def turn_until(self, condition):
        """Run the reactor until a condition holds."""
        for _ in range(MAX_TURNS):
            if condition():
                return
            self.reactor.call_later(0.001, lambda: None)
            self.reactor.run_once()
        raise AssertionError('condition not met in time')

    def read_response(self, sock):
        """Return the response and whether the connection was reset."""
        data = bytearray()
        resets = []

        def receive():
            with contextlib.suppress(BlockingIOError):
                try:
                    received = sock.recv(65536)
                except ConnectionResetError:
                    resets.append('reset')
                    return True
                data.extend(received)
            return not self.forwarder.pending_count and _is_complete(
                bytes(data)
            )

        self.turn_until(receive)
        sock.close()
        return bytes(data), bool(resets)

    @property
    def run_count(self):
        """Return how often the request ran, over all targets."""
        return sum(len(target.runs) for target in self.targets)


def _is_complete(data):
    head, separator, body = data.partition(b'\r\n\r\n')
    if not separator:
        return False
    if b'chunked' in head.lower():
        return body.endswith(b'0\r\n\r\n')
    length = head.lower().split(b'content-length: ')[1].split(b'\r\n')[0]
    return len(body) >= int(length)


@pytest.fixture
def make_harness():
    """Make a harness with a target for each script.

    Only the first target is in the failure domain of the forwarder.
    """
    with contextlib.ExitStack() as stack:
        yield lambda *scripts: Harness(stack, *scripts)


@pytest.mark.parametrize(
    'script', [refuse, reset_connection, cut_response, respond_with_wrong_id]
)
def test_idempotent_request_is_retried_at_another_target(make_harness, script):
    """A request that may be repeated gets a response of another target."""
    harness = make_harness(script, respond_with_success)
    data, _ = harness.read_response(harness.send_request(b'/read/1'))
    assert data.startswith(b'HTTP/1.1 200')
    assert data.endswith(b'whole')
    assert harness.targets[1].runs == [b'7']


@pytest.mark.parametrize('path', [b'/read/1', b'/book/1'])
def test_error_response_of_a_target_is_forwarded(make_harness, path):
    """A request that ran and failed is never reported as not run."""
    harness = make_harness(respond_with_error)
    data, _ = harness.read_response(harness.send_request(path))
    assert data.startswith(b'HTTP/1.1 500')
    assert data.endswith(b'failed')
    assert harness.run_count == 1


def test_server_error_is_retried_at_another_target(make_harness):
    """A server error of one target is hidden by the success of another."""
    harness = make_harness(respond_with_error, respond_with_success)
    data, _ = harness.read_response(harness.send_request(b'/read/1'))
    assert data.startswith(b'HTTP/1.1 200')
    assert harness.run_count == 2


@pytest.mark.parametrize(
    'script', [reset_connection, cut_response, respond_with_wrong_id]
)
def test_non_idempotent_request_runs_at_most_once(make_harness, script):
    """What may have run is not retried, nor reported as not run."""
    harness = make_harness(script, respond_with_success)
    data, _ = harness.read_response(harness.send_request(b'/book/1'))
    assert data.startswith(b'HTTP/1.1 502')
    assert b'Retry-After' not in data
    assert harness.run_count == 1


def test_refused_non_idempotent_request_is_retried(make_harness):
    """Proof that a request has not run allows another attempt."""
    harness = make_harness(refuse, respond_with_success)
    data, _ = harness.read_response(harness.send_request(b'/book/1'))
    assert data.startswith(b'HTTP/1.1 200')
    assert harness.run_count == 1


def test_request_refused_by_all_targets_gets_retry_after(make_harness):
    """A request that no target runs is answered 503 with Retry-After."""
    harness = make_harness(refuse, refuse)
    data, _ = harness.read_response(
        harness.send_request(b'/book/1', time_left=b'0.8')
    )
    assert data.startswith(b'HTTP/1.1 503')
    assert b'Retry-After' in data
    assert harness.run_count == 0


def test_timeout_aborts_the_attempt(make_harness):
    """At the deadline the caller gets 504 and the target a disconnect."""
    harness = make_harness(hang)
    data, _ = harness.read_response(
        harness.send_request(b'/book/1', time_left=b'0.1')
    )
    assert data.startswith(b'HTTP/1.1 504')
    harness.turn_until(lambda: harness.targets[0].disconnects)


def test_caller_disconnect_aborts_the_attempt(make_harness):
    """A caller's disconnect closes the connection to the target."""
    harness = make_harness(hang)
    sock = harness.send_request(b'/talk/1')
    harness.turn_until(lambda: harness.run_count)
    sock.close()
    harness.turn_until(lambda: harness.targets[0].disconnects)
    assert not harness.forwarder.pending_count


def test_stream_cut_in_mid_event_is_resumed(make_harness):
    """A stream cut in mid-event is resumed without loss or repetition."""
    harness = make_harness(cut_stream, send_stream)
    sock = harness.send_request(b'/talk/1')
    harness.turn_until(lambda: hasattr(harness.targets[0], 'cut_exchange'))
    for _ in range(50):
        harness.reactor.call_later(0.001, lambda: None)
        harness.reactor.run_once()
    harness.targets[0].cut_exchange.abort()
    data, was_reset = harness.read_response(sock)
    assert not was_reset
    assert data.count(b'id: ') == 9
    assert [
        data.count(b'id: %d\n' % event_id) for event_id in range(1, 10)
    ] == [1] * 9


def test_stream_that_cannot_be_resumed_is_reset(make_harness):
    """A stream that can't be resumed is reset, never ended regularly."""
    harness = make_harness(cut_stream)
    sock = harness.send_request(b'/talk/1')
    harness.turn_until(lambda: hasattr(harness.targets[0], 'cut_exchange'))
    for _ in range(50):
        harness.reactor.call_later(0.001, lambda: None)
        harness.reactor.run_once()
    harness.targets[0].cut_exchange.abort()
    data, was_reset = harness.read_response(sock)
    assert was_reset
    assert not data.endswith(b'0\r\n\r\n')


def test_stopping_process_responds_to_all_callers(make_harness):
    """Requests that still run when the process stops get a response."""
    harness = make_harness(hang)
    sock = harness.send_request(b'/book/1')
    harness.turn_until(lambda: harness.run_count)
    harness.forwarder.stop_all()
    data, _ = harness.read_response(sock)
    assert data.startswith(b'HTTP/1.1 502')


def _advance(harness, seconds, step=0.1):
    """Skip over some time in steps in which the reactor runs."""
    for _ in range(round(seconds / step)):
        harness.clock.advance(step)
        for _ in range(3):
            harness.reactor.call_later(0.001, lambda: None)
            harness.reactor.run_once()


def _start_streams(harness):
    """Start a stream at the first target, then one at the second."""
    stalled = harness.send_request(b'/talk/1')
    harness.turn_until(lambda: hasattr(harness.targets[0], 'cut_exchange'))
    harness.balancer.add_request('t2', 1)
    other = harness.send_request(b'/talk/2')
    harness.turn_until(lambda: hasattr(harness.targets[1], 'slow_exchange'))
    harness.balancer.remove_request('t2', 1)
    return stalled, other


def test_stalled_stream_goes_on_elsewhere(make_harness):
    """A stream that gets single bytes only is resumed at another target.

    The second target's stream has an event a second: it is slow but sound and
    stays where it is.
    """
    harness = make_harness(stall_stream, send_slowly, send_stream)
    stalled, other = _start_streams(harness)
    for _ in range(3):
        _advance(harness, 0.4)
        harness.targets[0].cut_exchange.write(b'x')
        send_next_event(harness.targets[1])
    harness.turn_until(lambda: harness.targets[2].runs)
    data = bytearray()

    def is_complete():
        with contextlib.suppress(BlockingIOError):
            data.extend(stalled.recv(65536))
        return data.endswith(b'0\r\n\r\n')

    harness.turn_until(is_complete)
    counts = [data.count(b'id: %d\n' % number) for number in range(1, 10)]
    assert counts == [1] * 9
    assert len(harness.targets[1].runs) == 1
    stalled.close()
    other.close()


def test_standing_service_moves_no_stream(make_harness):
    """While all targets are silent no stream is started again elsewhere."""
    harness = make_harness(stall_stream, send_slowly, send_stream)
    stalled, other = _start_streams(harness)
    _advance(harness, 3.0)
    assert not harness.targets[2].runs
    assert harness.run_count == 2
    send_next_event(harness.targets[1])
    harness.targets[0].cut_exchange.write(b'ta: x\n\n')
    _advance(harness, 0.8)
    assert harness.run_count == 2
    stalled.close()
    other.close()


def test_stalled_response_ends_at_the_timeout(make_harness):
    """A target that sends single bytes ends with the route's timeout."""
    harness = make_harness(stall_stream)
    sock = harness.send_request(b'/talk/1')
    harness.turn_until(lambda: hasattr(harness.targets[0], 'cut_exchange'))
    for _ in range(60):
        _advance(harness, 0.1)
        with contextlib.suppress(AttributeError):
            harness.targets[0].cut_exchange.write(b'x')
    assert not harness.forwarder.pending_count
    data, was_reset = harness.read_response(sock)
    assert was_reset
    assert not data.endswith(b'0\r\n\r\n')


def test_endless_event_loses_no_whole_event(make_harness):
    """Whole events before one without an end reach the caller, once each."""
    harness = make_harness(send_endless_event, send_stream)
    data, was_reset = harness.read_response(harness.send_request(b'/talk/1'))
    assert not was_reset
    counts = [data.count(b'id: %d\n' % number) for number in range(1, 10)]
    assert counts == [1] * 9
    assert not harness.balancer._is_healthy('t0', harness.reactor.now())
