"""Test how a closing server ends its connections to slow callers."""

import contextlib
import socket

import pytest

from bambooring_core import clock as clock_module
from bambooring_core.http1 import const
from bambooring_core.http1 import messages
from bambooring_core.http1 import server as server_module
from bambooring_core import reactor as reactor_module

LIMITS = messages.Limits(
    max_header_bytes=4096,
    max_body_bytes=10_000,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)
LONG_BODY = b'x' * 20_000_000
STEP_S = 0.1
TURNS_PER_STEP = 5


class SlowCaller:
    """A caller that sends a request and reads only when told to."""

    def __init__(self, port):
        self.sock = socket.create_connection(('127.0.0.1', port))
        self.sock.setblocking(False)
        self.sock.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        self.received = bytearray()
        self.is_ended = False

    def read(self, size):
        """Read what has come, up to a number of bytes."""
        try:
            data = self.sock.recv(size)
        except BlockingIOError:
            return
        except ConnectionError:
            data = b''
        self.received += data
        self.is_ended = not data


@pytest.fixture
def closing_server():
    """Yield a server that answers with a long body and has begun to close."""
    clock = clock_module.ManualClock()
    with contextlib.ExitStack() as stack:
        reactor = stack.enter_context(reactor_module.Reactor(clock))
        server = server_module.Server(
            reactor=reactor,
            address='127.0.0.1:0',
            limits=LIMITS,
            handle=lambda exchange: exchange.respond(200, [], LONG_BODY),
            count_refused=lambda reason: None,
        )
        stack.enter_context(server)
        server.is_closing = True
        yield clock, reactor, server


def _advance(clock, reactor):
    clock.advance(STEP_S)
    for _ in range(TURNS_PER_STEP):
        reactor.call_soon(lambda: None)
        reactor.run_once()


# In a planned stop the rest of a long answer was cut off.
@pytest.mark.parametrize('is_closing_idle', [False, True])
def test_slow_caller_gets_its_whole_response(closing_server, is_closing_idle):
    """A caller may take longer than an ended connection lingers."""
    clock, reactor, server = closing_server
    caller = SlowCaller(server.port)
    steps = 0
    while not caller.is_ended:
        _advance(clock, reactor)
        caller.read(300_000)
        steps += 1
        if is_closing_idle:
            server.close_idle()
    assert steps * STEP_S > 2 * const.LINGER_S
    assert caller.received.startswith(b'HTTP/1.1 200')
    assert caller.received.endswith(LONG_BODY)


def test_caller_that_reads_nothing_is_given_up(closing_server):
    """Its connection closes when it has been idle for too long."""
    clock, reactor, server = closing_server
    caller = SlowCaller(server.port)
    for _ in range(round((LIMITS.idle_timeout_s + 2) / STEP_S)):
        _advance(clock, reactor)
    assert not server.has_connections
    caller.sock.close()


# A response was cut off because its caller had sent more than one request.
def test_response_is_whole_though_more_was_received(closing_server):
    """What follows the last request is read by nobody and harms nothing."""
    clock, reactor, server = closing_server
    caller = SlowCaller(server.port)
    caller.sock.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    for _ in range(200):
        _advance(clock, reactor)
        for _ in range(10):
            caller.read(1_000_000)
        if caller.is_ended:
            break
    assert caller.is_ended
    assert bytes(caller.received).partition(b'\r\n\r\n')[2] == LONG_BODY
