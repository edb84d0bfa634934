"""Test calls over a kept connection, with a scripted server."""

import contextlib
import socket
import struct

import pytest

from bambooring_core.http1 import const
from bambooring_core.http1 import kept
from bambooring_core import reactor as reactor_module

TIMEOUT_S = 0.2
MAX_ITERATIONS = 2000
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n'


class _Server:
    """A listening socket whose connections the test serves itself."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.listener.setblocking(False)
        self.connections = []

    @property
    def address(self):
        """Return the address on which it listens."""
        return f'127.0.0.1:{self.listener.getsockname()[1]}'

    def run_until(self, condition):
        """Run the reactor until a condition holds; accept connections."""
        for _ in range(MAX_ITERATIONS):
            with contextlib.suppress(BlockingIOError):
                connection, _ = self.listener.accept()
                connection.setblocking(False)
                self.connections.append(connection)
            if condition():
                return
            self.reactor.call_later(0.001, lambda: None)
            self.reactor.run_once()
        raise AssertionError('condition not met in time')

    def read_request(self, index):
        """Return the next request on a connection."""
        data = bytearray()

        def is_complete():
            if len(self.connections) > index:
                with contextlib.suppress(BlockingIOError):
                    data.extend(self.connections[index].recv(65536))
            return data.endswith(b'\r\n\r\n')

        self.run_until(is_complete)
        return bytes(data)


@contextlib.contextmanager
def _open():
    with reactor_module.Reactor() as reactor:
        server = _Server(reactor)
        connection = kept.KeptConnection(
            reactor=reactor, address=server.address, timeout_s=TIMEOUT_S
        )
        yield server, connection
        connection.close()
        for accepted in server.connections:
            accepted.close()
        server.listener.close()


def _call(connection, path, responses):
    connection.call(
        'GET',
        path,
        [(b'Host', b'x')],
        lambda status, body: responses.append((status, body)),
    )


def test_calls_share_a_connection():
    """Calls one after the other use the same connection."""
    with _open() as (server, connection):
        responses: list[tuple[int, bytes]] = []
        for number in range(3):
            _call(connection, f'/{number}', responses)
            assert not connection.is_idle
            assert server.read_request(0).startswith(b'GET /%d ' % number)
            server.connections[0].send(OK + b'a%d' % number)
            server.run_until(lambda: connection.is_idle)
        assert responses == [(200, b'a0'), (200, b'a1'), (200, b'a2')]
        assert len(server.connections) == 1


def test_closed_idle_connection_is_replaced():
    """After the server closed the idle connection, a new one is opened."""
    with _open() as (server, connection):
        responses: list[tuple[int, bytes]] = []
        _call(connection, '/1', responses)
        server.read_request(0)
        server.connections[0].send(OK + b'a1')
        server.run_until(lambda: connection.is_idle)
        server.connections[0].close()
        server.run_until(lambda: connection._socket is None)
        _call(connection, '/2', responses)
        server.read_request(1)
        server.connections[1].send(OK + b'a2')
        server.run_until(lambda: connection.is_idle)
        assert responses == [(200, b'a1'), (200, b'a2')]


def test_call_that_crosses_the_close_is_made_again():
    """A call on a connection that the server closes meanwhile isn't lost."""
    with _open() as (server, connection):
        responses: list[tuple[int, bytes]] = []
        _call(connection, '/1', responses)
        server.read_request(0)
        server.connections[0].send(OK + b'a1')
        server.run_until(lambda: connection.is_idle)
        _call(connection, '/2', responses)
        server.connections[0].close()
        assert server.read_request(1).startswith(b'GET /2 ')
        server.connections[1].send(OK + b'a2')
        server.run_until(lambda: connection.is_idle)
        assert responses == [(200, b'a1'), (200, b'a2')]


@pytest.mark.parametrize(
    'part', [b'', OK, OK + b'a', b'no response\r\n\r\n'], ids=len
)
def test_failed_call_ends_the_connection(part):
    """A call that fails or is too late reports it and gets a new connection.

    The rest of its response must not be taken for that of the next call.
    """
    with _open() as (server, connection):
        responses: list[tuple[int, bytes]] = []
        _call(connection, '/1', responses)
        server.read_request(0)
        server.connections[0].send(part)
        server.run_until(lambda: responses)
        assert responses[0][0] == 0
        with contextlib.suppress(OSError):
            server.connections[0].send(b'rest' + OK + b'a1')
        _call(connection, '/2', responses)
        server.read_request(1)
        server.connections[1].send(OK + b'a2')
        server.run_until(lambda: connection.is_idle)
        assert responses[1:] == [(200, b'a2')]


@pytest.mark.parametrize(
    'response',
    [
        OK.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n') + b'a1',
        OK + b'a1surplus',
    ],
    ids=['close', 'surplus'],
)
def test_connection_that_can_not_be_kept(response):
    """A connection that the server ends, or misuses, isn't kept."""
    with _open() as (server, connection):
        responses: list[tuple[int, bytes]] = []
        _call(connection, '/1', responses)
        server.read_request(0)
        server.connections[0].send(response)
        server.run_until(lambda: responses)
        assert responses == [(200, b'a1')]
        _call(connection, '/2', responses)
        server.read_request(1)


def test_refused_connection():
    """A call to an address without a server fails."""
    with _open() as (server, connection):
        responses: list[tuple[int, bytes]] = []
        server.listener.close()
        _call(connection, '/1', responses)
        for _ in range(MAX_ITERATIONS):
            if responses:
                break
            server.reactor.run_once()
        assert responses == [(0, b'')]


def _send_endlessly(server, repeated, is_over):
    """Answer the first call with the same bytes until it is over."""
    pending = b''
    for _ in range(MAX_ITERATIONS):
        if is_over():
            return
        pending = pending or repeated * (65536 // len(repeated))
        with contextlib.suppress(BlockingIOError, ConnectionError):
            pending = pending[server.connections[0].send(pending) :]
        server.reactor.call_later(0.0, lambda: None)
        server.reactor.run_once()


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (b'HTTP/1.1 200 OK\r\n\r\n', b'x'),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n', b'x'),
        (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
    ],
)
def test_endless_response(start, repeated):
    """A response without an end fails before it has taken much memory."""
    with _open() as (server, connection):
        connection._timeout_s = 60.0
        responses: list[tuple[int, bytes]] = []
        _call(connection, '/a', responses)
        server.read_request(0)
        server.connections[0].sendall(start)
        _send_endlessly(server, repeated, lambda: responses)
        ((status, body),) = responses
        assert status == 0
        assert len(body) <= const.MAX_BODY_BYTES + const.READ_SIZE_BYTES


def test_call_with_a_body_is_made_once():
    """A call that may not be repeated fails if its connection is closed."""
    with _open() as (server, connection):
        responses = []
        connection.call(
            'POST',
            '/order',
            [(b'Host', b'x'), (b'Content-Length', b'2')],
            lambda status, body: responses.append((status, body)),
            b'hi',
        )
        data = bytearray()

        def has_arrived():
            if server.connections:
                with contextlib.suppress(BlockingIOError):
                    data.extend(server.connections[0].recv(65536))
            return data.endswith(b'hi')

        server.run_until(has_arrived)
        server.connections[0].close()
        server.run_until(lambda: responses)
        assert responses == [(0, b'')]
        assert len(server.connections) == 1


# A poll took the first part of a report for the whole, because its server
# had sent no length and then reset the connection.
@pytest.mark.parametrize(('is_reset', 'status'), [(False, 200), (True, 0)])
def test_only_a_close_ends_a_response_without_length(is_reset, status):
    """A response that is reset on the way is not complete."""
    with _open() as (server, connection):
        results = []
        connection.call(
            'GET', '/', [(b'Host', b'h')], lambda *args: results.append(args)
        )
        server.read_request(0)
        server.connections[0].send(b'HTTP/1.1 200 OK\r\n\r\npart')
        server.run_until(lambda: connection._body == b'part')
        if is_reset:
            server.connections[0].setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        server.connections[0].close()
        server.run_until(lambda: results)
        assert results == [(status, b'part')]


# A second copy of a response was taken for the answers to later calls.
@pytest.mark.parametrize('is_apart', [False, True])
def test_late_copy_spoils_one_call_at_most(is_apart):
    """The answer that it displaced ends the connection.

    The copy itself can't be told from an answer, see the module.
    """
    with _open() as (server, connection):
        responses: list[tuple[int, bytes]] = []
        _call(connection, '/1', responses)
        server.read_request(0)
        server.connections[0].send(OK + b'a1')
        server.run_until(lambda: connection.is_idle)
        _call(connection, '/2', responses)
        server.read_request(0)
        if is_apart:
            server.connections[0].send(OK + b'a1')
            server.run_until(lambda: connection.is_idle)
            server.connections[0].send(OK + b'a2')
            server.run_until(lambda: connection._socket is None)
        else:
            server.connections[0].send(OK + b'a1' + OK + b'a2')
            server.run_until(lambda: connection.is_idle)
        _call(connection, '/3', responses)
        server.read_request(1)
        server.connections[1].send(OK + b'a3')
        server.run_until(lambda: connection.is_idle)
        assert responses == [(200, b'a1'), (200, b'a1'), (200, b'a3')]


# A copy came before the next call, which then took it for its answer.
def test_copy_between_two_calls_ends_the_connection():
    """Nothing is read from a connection that no call waits for."""
    with _open() as (server, connection):
        responses: list[tuple[int, bytes]] = []
        _call(connection, '/1', responses)
        server.read_request(0)
        server.connections[0].send(OK + b'a1')
        server.run_until(lambda: connection.is_idle)
        server.connections[0].send(OK + b'a1')
        server.run_until(lambda: connection._socket is None)
        _call(connection, '/2', responses)
        server.read_request(1)
        server.connections[1].send(OK + b'a2')
        server.run_until(lambda: connection.is_idle)
        assert responses == [(200, b'a1'), (200, b'a2')]


# A poll of a target that answered with status 600 or more counted as answered.
@pytest.mark.parametrize('status', [b'000', b'001', b'099', b'600', b'999'])
@pytest.mark.parametrize('is_first', [True, False])
def test_invalid_status_is_no_answer(status, is_first):
    """The call fails, and the next one gets a new connection."""
    with _open() as (server, connection):
        responses: list[tuple[int, bytes]] = []
        bad = OK.replace(b'200', status) + b'no'
        if not is_first:
            _call(connection, '/1', responses)
            server.read_request(0)
            server.connections[0].send(OK + b'a1')
            server.run_until(lambda: connection.is_idle)
        _call(connection, '/2', responses)
        server.read_request(0)
        server.connections[0].send(bad)
        if not is_first:
            # On a kept connection it may belong to an earlier call.
            server.run_until(
                lambda: connection.is_idle or len(server.connections) > 1
            )
            if not connection.is_idle:
                server.read_request(1)
                server.connections[1].send(bad)
        server.run_until(lambda: connection.is_idle)
        assert responses[-1][0] == 0
        index = len(server.connections)
        _call(connection, '/3', responses)
        server.read_request(index)
        server.connections[index].send(OK + b'a3')
        server.run_until(lambda: connection.is_idle)
        assert responses[-1] == (200, b'a3')


@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
def test_invalid_status_behind_a_body(status):
    """What stands behind a body is not taken for the next answer."""
    with _open() as (server, connection):
        responses: list[tuple[int, bytes]] = []
        _call(connection, '/1', responses)
        server.read_request(0)
        surplus = OK.replace(b'200', status) + b'no'
        server.connections[0].send(OK + b'a1' + surplus)
        server.run_until(lambda: connection.is_idle)
        _call(connection, '/2', responses)
        server.read_request(1)
        server.connections[1].send(OK + b'a2')
        server.run_until(lambda: connection.is_idle)
        assert responses == [(200, b'a1'), (200, b'a2')]
