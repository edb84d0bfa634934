"""Test the limits of memory and descriptors of a server."""

import contextlib
import socket
import time
import typing

import pytest

from bambooring_core import clock as clock_module
from bambooring_core.http1 import const
from bambooring_core.http1 import memory
from bambooring_core.http1 import messages
from bambooring_core.http1 import server as server_module
from bambooring_core import reactor as reactor_module

KB = 1024
# Of which 300 KiB are for large bodies.
TOTAL_BYTES = 400 * KB
LARGE_BYTES = 200 * KB
MAX_TURNS = 5000
PAUSE_S = 0.0005
LIMITS = messages.Limits(
    max_header_bytes=4 * KB,
    max_body_bytes=4096 * KB,
    header_timeout_s=30.0,
    idle_timeout_s=60.0,
)


class Site:
    """A server with a budget, and its callers, in one reactor."""

    def __init__(self, stack, max_descriptors=0):
        self.clock = clock_module.ManualClock()
        self.reactor = stack.enter_context(reactor_module.Reactor(self.clock))
        self.budget = memory.MemoryBudget(TOTAL_BYTES)
        self.exchanges: list[typing.Any] = []
        self.ended: list[typing.Any] = []
        self.is_answering = True
        self.server = stack.enter_context(
            server_module.Server(
                reactor=self.reactor,
                address='127.0.0.1:0',
                limits=LIMITS,
                handle=self._handle,
                count_refused=lambda reason: None,
                budget=self.budget,
                max_descriptors=max_descriptors,
            )
        )
        self._stack = stack

    def _handle(self, exchange):
        self.exchanges.append(exchange)
        exchange.on_disconnect = lambda: self.ended.append(exchange)
        if self.is_answering:
            exchange.respond(200, [], b'%d' % len(exchange.request.body))

    def _turn(self):
        # What was sent may take a moment to arrive.
        time.sleep(PAUSE_S)
        self.reactor.call_soon(lambda: None)
        self.reactor.run_once()

    def turn_until(self, condition):
        """Turn the reactor until a condition holds; the clock stands still."""
        for _ in range(MAX_TURNS):
            if condition():
                return
            self._turn()
        raise AssertionError('condition not met')

    def wait(self, duration_s):
        """Advance the clock in steps that let all timers run."""
        for _ in range(round(duration_s / 0.1)):
            self.clock.advance(0.1)
            self._turn()

    def connect(self, data=b''):
        """Open a connection and send something."""
        sock = socket.create_connection(('127.0.0.1', self.server.port))
        self._stack.callback(sock.close)
        sock.setblocking(False)
        self.send(sock, data)
        return sock

    def send(self, sock, data):
        """Send all of it, and turn until some of it has been received."""
        unsent = memoryview(data)
        while len(unsent):
            with contextlib.suppress(BlockingIOError):
                unsent = unsent[sock.send(unsent) :]
            self._turn()
        if data:
            self.turn_until(lambda: self._has_received(sock))

    def _has_received(self, sock):
        """Return whether something has arrived now, or the end is known."""
        return all(
            connection.last_active_s == self.clock.now()
            for connection in self.server._connections
            if connection._socket.getpeername() == sock.getsockname()
        )

    def read(self, sock):
        """Return what is received until the connection ends or is quiet."""
        data = bytearray()

        def has_ended():
            with contextlib.suppress(BlockingIOError):
                part = sock.recv(65536)
                data.extend(part)
                return not part
            return b'\r\n\r\n' in data

        self.turn_until(has_ended)
        return bytes(data)


@pytest.fixture
def make_site():
    """Return a function that makes a site."""
    with contextlib.ExitStack() as stack:
        yield lambda **options: Site(stack, **options)


def _make_head(size, *headers):
    lines = [b'POST /a HTTP/1.1', b'Host: x', b'Content-Length: %d' % size]
    return b'\r\n'.join([*lines, *headers]) + b'\r\n\r\n'


@pytest.mark.parametrize('headers', [[], [b'Expect: 100-continue']])
def test_large_body_without_room_is_refused_unread(make_site, headers):
    """Many large uploads at once exhausted the memory of the process."""
    site = make_site()
    site.connect(_make_head(LARGE_BYTES))
    site.turn_until(lambda: site.budget.used_bytes)
    refused = site.connect(_make_head(LARGE_BYTES, *headers))
    answer = site.read(refused)
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'Retry-After: 1.' in answer
    assert b'Connection: close' in answer
    small = site.connect(_make_head(5) + b'small')
    assert site.read(small).startswith(b'HTTP/1.1 200')


def test_refusal_reaches_a_caller_that_is_still_sending(make_site):
    """A reset in the middle of an upload hid the answer to it."""
    site = make_site()
    site.connect(_make_head(LARGE_BYTES))
    size = 3 * const.LINGER_S * 1000 * KB
    refused = site.connect(_make_head(int(size)))
    for _ in range(3):
        # It takes longer than callers are given to read an answer.
        site.send(refused, bytes(int(size) // 3))
        site.wait(const.LINGER_S * 0.8)
    assert site.budget.used_bytes == LARGE_BYTES
    assert site.read(refused).startswith(b'HTTP/1.1 503')


def test_refused_caller_cannot_send_for_ever(make_site):
    """A refused upload that never ends kept its connection."""
    site = make_site()
    site.connect(_make_head(LARGE_BYTES))
    refused = site.connect(_make_head(LARGE_BYTES))
    with contextlib.suppress(ConnectionError):
        for _ in range(2 * int(const.REFUSAL_LINGER_S)):
            site.send(refused, b'x')
            site.wait(const.LINGER_S * 0.8)
    (admitted,) = site.server._connections
    assert not admitted.is_idle


def test_chunked_body_is_refused_as_it_grows(make_site):
    """A body without a length has no size when its head arrives."""
    site = make_site()
    site.connect(_make_head(LARGE_BYTES))
    head = b'POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
    chunk = b'%x\r\n' % LARGE_BYTES + bytes(LARGE_BYTES) + b'\r\n'
    refused = site.connect(head + chunk)
    assert site.read(refused).startswith(b'HTTP/1.1 503')
    site.turn_until(lambda: site.budget.used_bytes == LARGE_BYTES)


def test_stalled_upload_gives_way(make_site):
    """Uploads that stopped short of their end kept others out."""
    site = make_site()
    stalled = site.connect(_make_head(LARGE_BYTES) + bytes(LARGE_BYTES - 1))
    site.turn_until(lambda: site.budget.used_bytes)
    site.wait(2 * const.STALL_S)
    served = site.connect(_make_head(LARGE_BYTES) + bytes(LARGE_BYTES))
    answer = site.read(served)
    assert answer.startswith(b'HTTP/1.1 200')
    assert site.read(stalled).startswith(b'HTTP/1.1 503')
    assert len(site.exchanges) == 1


def test_many_small_bodies_are_bounded_too(make_site):
    """Small uploads are always admitted, and there can be any number."""
    site = make_site()
    size = const.SMALL_BODY_BYTES
    for _ in range(2 * TOTAL_BYTES // size):
        site.connect(_make_head(size))
    site.turn_until(lambda: site.budget.used_bytes)
    site.wait(1.0)
    assert 0 < site.budget.used_bytes <= TOTAL_BYTES
    small = site.connect(_make_head(5) + b'small')
    assert site.read(small).startswith(b'HTTP/1.1 200')


def test_running_request_does_not_give_way(make_site):
    """A request that may have run can't be refused any more."""
    site = make_site()
    site.is_answering = False
    site.connect(_make_head(LARGE_BYTES) + bytes(LARGE_BYTES))
    site.turn_until(lambda: site.exchanges)
    site.wait(2 * const.STALL_S)
    refused = site.connect(_make_head(LARGE_BYTES))
    assert site.read(refused).startswith(b'HTTP/1.1 503')
    assert not site.ended


def _answer(site, sock):
    site.exchanges[0].respond(200, [], b'')


def _close(site, sock):
    sock.close()


def _abort(site, sock):
    site.exchanges[0].abort()


def _send_odd_input(site, sock):
    site.exchanges[0].respond(200, [], b'')
    site.send(sock, b'\0\r\n\r\n')


@pytest.mark.parametrize('end', [_answer, _close, _abort, _send_odd_input])
def test_memory_is_released_however_a_request_ends(make_site, end):
    """What is not released would let the process refuse ever more."""
    site = make_site()
    site.is_answering = False
    sock = site.connect(_make_head(LARGE_BYTES) + bytes(LARGE_BYTES))
    site.turn_until(lambda: site.exchanges)
    assert site.budget.used_bytes == LARGE_BYTES
    end(site, sock)
    site.turn_until(lambda: not site.budget.used_bytes)
    assert not site.exchanges[0].request.body


@pytest.mark.parametrize('is_closed', [True, False])
def test_memory_is_released_if_a_body_does_not_arrive(make_site, is_closed):
    """An upload that ends early or times out holds nothing afterwards."""
    site = make_site()
    sock = site.connect(_make_head(LARGE_BYTES) + b'x')
    site.turn_until(lambda: site.budget.used_bytes)
    if is_closed:
        sock.close()
    else:
        site.wait(LIMITS.header_timeout_s + const.SWEEP_INTERVAL_S + 0.2)
    site.turn_until(lambda: not site.budget.used_bytes)


def test_response_that_is_not_read_is_broken_off(make_site):
    """A caller that reads nothing kept its target busy."""
    site = make_site()
    site.is_answering = False
    sock = site.connect(_make_head(0))
    site.turn_until(lambda: site.exchanges)
    (exchange,) = site.exchanges
    exchange.start(200, [])
    while not exchange.is_congested:
        exchange.write(bytes(32 * KB))
        site.wait(0.1)
    site.wait(const.UNREAD_TIMEOUT_S + const.SWEEP_INTERVAL_S + 0.2)
    assert site.ended == [exchange]
    assert not site.budget.used_bytes
    sock.close()


def test_output_beyond_the_budget_closes_who_reads_least(make_site):
    """Many callers that read slowly exhausted the memory of the process."""
    site = make_site()
    site.is_answering = False
    socks = [site.connect(_make_head(0)) for _ in range(4)]
    site.turn_until(lambda: len(site.exchanges) == 4)
    for exchange in site.exchanges[:3]:
        exchange.start(200, [])
        while not exchange.is_congested:
            exchange.write(bytes(32 * KB))
        exchange.write(bytes(64 * KB))
    site.turn_until(lambda: site.ended)
    assert site.budget.used_bytes <= TOTAL_BYTES
    assert len(site.ended) < 3
    site.exchanges[3].respond(200, [], b'')
    assert site.read(socks[3]).startswith(b'HTTP/1.1 200')


def test_longest_idle_connection_makes_room_for_a_new_one(make_site):
    """Idle connections used up all descriptors of the process."""
    site = make_site(max_descriptors=4)
    socks = []
    for _ in range(4):
        socks.append(site.connect())
        site.wait(0.2)
    socks.append(site.connect(_make_head(0)))
    assert site.read(socks[4]).startswith(b'HTTP/1.1 200')
    assert site.read(socks[0]) == b''
    site.send(socks[3], _make_head(0))
    assert site.read(socks[3]).startswith(b'HTTP/1.1 200')


def test_running_requests_keep_their_connections(make_site):
    """Each needs a descriptor for its call besides; a new caller must wait."""
    site = make_site(max_descriptors=4)
    site.is_answering = False
    for _ in range(2):
        site.connect(_make_head(0))
    site.turn_until(lambda: len(site.exchanges) == 2)
    assert site.read(site.connect()) == b''
    assert not site.ended
