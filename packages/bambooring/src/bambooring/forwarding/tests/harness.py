"""Run a forwarder with callers and scripted targets on loopback sockets."""

import contextlib
import random
import socket

from bambooring.balancing import state as balancing
from bambooring.crashes import messages as crashes
from bambooring.crashes import task as crashes_task
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

    event_fields: tuple[bytes, ...] = ()

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
            last_event_id=int(request.get(b'last') or b'0') or None,
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
            (b'Parts', ' '.join(request.prompt_parts).encode()),
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
            rest_s=float(values[b'rest']) if b'rest' in values else None,
            is_leaving=b'leaving' in values,
            cold_ms=int(values.get(b'cold', b'0')),
        )

    def read_policy(self, document):
        """Fail, since no test needs it."""
        raise NotImplementedError

    def read_control_call(self, request):
        """Fail, since no test needs it."""
        raise NotImplementedError


def make_route(name, kind, **changes):
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
        make_route('read', policy.RouteKind.IDEMPOTENT),
        make_route('book', policy.RouteKind.NON_IDEMPOTENT),
        make_route('talk', policy.RouteKind.STREAM, is_resumable=True),
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

    ``runs`` holds the attempt ids of the requests that ran. ``stop`` ends the
    target: its connections are reset, and new ones are refused. ``rest`` is
    the time that it asks for, ``refused_s`` when it did so.
    """

    def __init__(self, script, get_time_s):
        self.script = script
        self.rest = b'3'
        self.refused_s = []
        self.is_resting = False
        self.hanging = []
        self._get_time_s = get_time_s
        self.runs = []
        self.disconnects = 0
        # Of a target that crashes within an answer: after how many events.
        self.event_count = 1
        self.stop = None

    def handle(self, exchange):
        """Respond to a request by the script."""
        exchange.on_disconnect = self._count_disconnect
        self.script(self, exchange)

    def _count_disconnect(self):
        self.disconnects += 1

    @property
    def refusals(self):
        """Return how often the target asked for a rest."""
        return len(self.refused_s)

    def record_refusal(self):
        """Record that a request is told that the target wants a rest."""
        self.refused_s.append(self._get_time_s())

    def record_run(self, exchange):
        """Record that a request runs here."""
        self.runs.append(exchange.request.get(b'id'))


def make_headers(exchange, *more):
    return [(b'Id', exchange.request.get(b'id')), (b'Signed', b'1'), *more]


def respond_with_success(target, exchange):
    """Run a request and respond with success."""
    target.record_run(exchange)
    exchange.respond(200, make_headers(exchange), b'whole')


def refuse(target, exchange):
    """Respond that the request has not run."""
    exchange.respond(503, [(b'Not-Run', b'1')], b'')


def ask_for_rest(target, exchange):
    """Respond that the request has not run, and ask for a rest."""
    target.record_refusal()
    exchange.respond(503, [(b'Not-Run', b'1'), (b'Rest', target.rest)], b'')


def rest_once(target, exchange):
    """Ask for one rest; then run requests and respond with success."""
    if not target.refusals:
        ask_for_rest(target, exchange)
    elif exchange.request.target.startswith('/talk/'):
        send_stream(target, exchange)
    else:
        respond_with_success(target, exchange)


def rest_then_hang(target, exchange):
    """Ask for one rest; then run requests and respond when told to."""
    if not target.refusals:
        ask_for_rest(target, exchange)
    else:
        target.record_run(exchange)
        target.hanging.append(exchange)


def hang_then_rest(target, exchange):
    """Run requests and never respond; ask for a rest when told to."""
    if target.is_resting:
        ask_for_rest(target, exchange)
    else:
        hang(target, exchange)


def stream_then_rest(target, exchange):
    """Run one request in part; then ask for a rest."""
    if target.runs:
        ask_for_rest(target, exchange)
    else:
        cut_stream(target, exchange)


def fail_and_ask_for_rest(target, exchange):
    """Ask for a rest without proof that the request has not run."""
    target.record_refusal()
    exchange.respond(
        503,
        [(b'Id', exchange.request.get(b'id')), (b'Rest', target.rest)],
        b'',
    )


def answer_another_with_a_rest(target, exchange):
    """Respond with the id of another request and a rest."""
    exchange.respond(
        503, [(b'Id', b'other'), (b'Not-Run', b'1'), (b'Rest', b'3')], b''
    )


def refuse_as_too_many(target, exchange):
    """Respond that the caller sends too many requests."""
    exchange.respond(429, [(b'Not-Run', b'1'), (b'Rest', b'3')], b'')


def respond_and_leave(target, exchange):
    """Run a request, respond with success and say that the target leaves."""
    target.record_run(exchange)
    exchange.respond(200, make_headers(exchange, (b'Leaving', b'1')), b'whole')


def refuse_and_leave(target, exchange):
    """Respond that the request has not run and that the target leaves."""
    target.record_refusal()
    exchange.respond(503, [(b'Not-Run', b'1'), (b'Leaving', b'1')], b'')


def fail_and_leave(target, exchange):
    """Run a request, respond with an error and say that it leaves."""
    target.record_run(exchange)
    exchange.respond(
        500, make_headers(exchange, (b'Leaving', b'1')), b'failed'
    )


def stream_and_leave(target, exchange):
    """Run a request and begin a stream whose head says that it leaves."""
    target.record_run(exchange)
    exchange.start(
        200, make_headers(exchange, (b'Stream', b'1'), (b'Leaving', b'1'))
    )
    exchange.write(make_events(1, 4))
    target.cut_exchange = exchange


def leave_then_hang(target, exchange):
    """Run requests; tell the first one when told to that it leaves."""
    target.record_run(exchange)
    target.hanging.append(exchange)
    target.say_that_it_leaves = lambda: _begin_leaving(target.hanging[0])


def _begin_leaving(exchange):
    exchange.start(
        200, make_headers(exchange, (b'Stream', b'1'), (b'Leaving', b'1'))
    )
    exchange.write(make_events(1, 4))


def say_unsigned_that_it_leaves(target, exchange):
    """Respond with success but no signature, and that it leaves."""
    target.record_run(exchange)
    exchange.respond(
        200, [(b'Id', exchange.request.get(b'id')), (b'Leaving', b'1')], b''
    )


def say_to_another_that_it_leaves(target, exchange):
    """Respond with the id of another request, and that it leaves."""
    target.record_run(exchange)
    exchange.respond(
        200, [(b'Id', b'o'), (b'Signed', b'1'), (b'Leaving', b'1')], b'x'
    )


def misdirected_and_leaving(target, exchange):
    """Respond as another target, which says that it leaves."""
    target.record_refusal()
    exchange.respond(
        421, [(b'Not-Run', b'1'), (b'Other', b'1'), (b'Leaving', b'1')], b''
    )


def reset_connection(target, exchange):
    """Run a request and reset the connection."""
    target.record_run(exchange)
    exchange.abort()


def cut_response(target, exchange):
    """Run a request and reset the connection in mid-response."""
    target.record_run(exchange)
    exchange.start(200, make_headers(exchange, (b'Content-Length', b'50')))
    exchange.write(b'part')
    exchange.abort()


def respond_with_wrong_id(target, exchange):
    """Run a request and respond with the id of another request."""
    target.record_run(exchange)
    exchange.respond(200, [(b'Id', b'other'), (b'Signed', b'1')], b'wrong')


def respond_with_error(target, exchange):
    """Run a request and respond with a server error."""
    target.record_run(exchange)
    exchange.respond(500, make_headers(exchange), b'failed')


def crash_on_deadly_part(target, exchange):
    """End the target at a request with a certain part; stream the others."""
    if b'deadly' in exchange.request.get(b'parts').split():
        crash(target, exchange)
    else:
        send_stream(target, exchange)


def crash_on_deadly_body(target, exchange):
    """End the target at a request with a certain body; answer the others."""
    if exchange.request.body == b'deadly':
        crash(target, exchange)
    else:
        respond_with_success(target, exchange)


def crash(target, exchange):
    """End the target as it begins to run a request."""
    target.record_run(exchange)
    target.stop()


def crash_within_answer(target, exchange):
    """End the target once it has begun to answer a certain part."""
    if b'deadly' not in exchange.request.get(b'parts').split():
        send_stream(target, exchange)
        return
    target.record_run(exchange)
    last = int(exchange.request.get(b'last'))
    exchange.start(200, make_headers(exchange, (b'Stream', b'1')))
    exchange.write(make_events(last + 1, last + target.event_count))
    target.stop()


def hang(target, exchange):
    """Run a request and never respond."""
    target.record_run(exchange)


def stall_stream(target, exchange):
    """Run a request and send some events, then single bytes when told to."""
    cut_stream(target, exchange)


def send_slowly(target, exchange):
    """Run a request and send an event whenever the test says so."""
    target.record_run(exchange)
    exchange.start(200, make_headers(exchange, (b'Stream', b'1')))
    target.next_event = int(exchange.request.get(b'last')) + 1
    target.slow_exchange = exchange
    send_next_event(target)


def send_next_event(target):
    """Send the next event of a slow stream."""
    target.slow_exchange.write(
        make_events(target.next_event, target.next_event)
    )
    target.next_event += 1


def send_endless_event(target, exchange):
    """Run a request and send whole events, then one without an end."""
    target.record_run(exchange)
    exchange.start(200, make_headers(exchange, (b'Stream', b'1')))
    exchange.write(make_events(1, 4) + b'data: ' + b'x' * 200_000)


def make_events(first_id, last_id):
    return b''.join(
        b'id: %d\ndata: x\n\n' % event_id
        for event_id in range(first_id, last_id + 1)
    )


def send_stream(target, exchange):
    """Run a request and send the events that the caller doesn't have."""
    target.record_run(exchange)
    last = int(exchange.request.get(b'last'))
    exchange.start(200, make_headers(exchange, (b'Stream', b'1')))
    exchange.write(make_events(last + 1, 9))
    exchange.end()


def cut_stream(target, exchange):
    """Run a request and stop sending in the middle of an event."""
    target.record_run(exchange)
    exchange.start(200, make_headers(exchange, (b'Stream', b'1')))
    exchange.write(make_events(1, 4) + b'id: 5\nda')
    target.cut_exchange = exchange


class Harness:
    """A forwarder with a server for callers and with scripted targets."""

    def __init__(self, stack, *scripts):
        self.clock = clock_module.ManualClock()
        self.reactor = stack.enter_context(
            reactor_module.Reactor(_OffsetClock(self.clock))
        )
        self.targets = [
            ScriptedTarget(script, self.reactor.now) for script in scripts
        ]
        self.balancer = balancing.Balancer('a', random.Random(1))
        self.crash_news: list[crashes.CrashNews] = []
        self.forwarder = task.Forwarder(
            reactor=self.reactor,
            dialect=Dialect(),
            balancer=self.balancer,
            lease=lease_module.Lease(4.0),
            lease_clock=clock_module.ManualClock(),
            budget=budget_module.RetryBudget(
                0.0, initial_tokens=50, capacity=50
            ),
            crash_guard=crashes_task.CrashGuard(
                reactor=self.reactor, send_news=self.crash_news.append
            ),
            rng=random.Random(1),
            schedule_load_report=lambda delay_s: None,
        )
        self.forwarder.policy_table = policy_state.PolicyTable(POLICY)
        self.caller_server = self.serve(stack, self.forwarder.handle)
        self._stack = stack
        self.generation = 0
        self.target_servers = [
            self._start_target(target) for target in self.targets
        ]
        self.balancer.set_targets(self._make_targets())

    def _start_target(self, target):
        server = self.serve(self._stack, target.handle)
        target.stop = lambda: self.reactor.call_soon(
            lambda: server.__exit__(None, None, None)
        )
        return server

    def restart_targets(self):
        """Replace the targets by new processes, as after crashes."""
        self.generation += 1
        for index, target in enumerate(self.targets):
            self.target_servers[index].__exit__(None, None, None)
            self.target_servers[index] = self._start_target(target)
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
                id=f't{index}' + 'r' * self.generation,
                service='app',
                address=f'127.0.0.1:{server.port}',
                failure_domain='a' if index == 0 else 'b',
                slots=4,
                state=targets.State.READY,
                born_ms=1 + self.generation,
                sequence=1,
            )

    def send_request(
        self,
        path,
        time_left=b'5',
        *,
        parts=b'',
        body=b'hi',
        attempt_id=b'7',
        last_event_id=0,
        method=b'POST',
    ):
        """Send a request and return its socket."""
        sock = socket.create_connection(('127.0.0.1', self.caller_server.port))
        sock.setblocking(False)
        sock.send(
            b'%b %b HTTP/1.1\r\nHost: h\r\nId: %b\r\nLeft: %b\r\n'
            b'Parts: %b\r\nLast: %d\r\nContent-Length: %d\r\n\r\n%b'
            % (
                method,
                path,
                attempt_id,
                time_left,
                parts,
                last_event_id,
                len(body),
                body,
            )
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
            return not self.forwarder.pending_count and is_complete(
                bytes(data)
            )

        self.turn_until(receive)
        sock.close()
        return bytes(data), bool(resets)

    def read_to_end(self, sock):
        """Return what comes until the connection ends, and if it was reset."""
        data = bytearray()
        resets = []

        def receive():
            try:
                received = sock.recv(65536)
            except BlockingIOError:
                return False
            except ConnectionResetError:
                resets.append('reset')
                return True
            data.extend(received)
            return not received or (
                not self.forwarder.pending_count and is_complete(bytes(data))
            )

        self.turn_until(receive)
        sock.close()
        return bytes(data), bool(resets)

    @property
    def run_count(self):
        """Return how often the request ran, over all targets."""
        return sum(len(target.runs) for target in self.targets)


def is_complete(data):
    head, separator, body = data.partition(b'\r\n\r\n')
    if not separator:
        return False
    if b'chunked' in head.lower():
        return body.endswith(b'0\r\n\r\n')
    length = head.lower().split(b'content-length: ')[1].split(b'\r\n')[0]
    return len(body) >= int(length)


def advance(harness, seconds, step=0.1):
    """Skip over some time in steps in which the reactor runs."""
    for _ in range(round(seconds / step)):
        harness.clock.advance(step)
        for _ in range(3):
            harness.reactor.call_later(0.001, lambda: None)
            harness.reactor.run_once()
