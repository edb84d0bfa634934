"""Test the server and the client over loopback sockets in one reactor."""

import contextlib
import errno
import socket
import typing
from unittest import mock

import pytest

from bambooring_core.http1 import client
from bambooring_core.http1 import errors
from bambooring_core.http1 import messages
from bambooring_core.http1 import server as server_module
from bambooring_core import reactor as reactor_module

LIMITS = messages.Limits(
    max_header_bytes=4096,
    max_body_bytes=10_000,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)
MAX_ITERATIONS = 2000


class RecordingHandler:
    """Record a server's exchanges and respond with the given function."""

    def __init__(self, respond=None):
        self.exchanges = []
        self.refused = []
        self.disconnected = []
        self._respond = respond or _respond_ok

    def handle(self, exchange):
        """Record an exchange and respond to it."""
        self.exchanges.append(exchange)
        exchange.on_disconnect = lambda: self.disconnected.append(exchange)
        self._respond(exchange)


def _respond_ok(exchange):
    exchange.respond(200, [(b'X-A', b'1')], b'<' + exchange.request.body)


def _never_respond(exchange):
    pass


@contextlib.contextmanager
def _serve(handler):
    with reactor_module.Reactor() as reactor:
        server = server_module.Server(
            reactor=reactor,
            address='127.0.0.1:0',
            limits=LIMITS,
            handle=handler.handle,
            count_refused=handler.refused.append,
        )
        with server:
            yield reactor, server


def _run_until(reactor, condition):
    for _ in range(MAX_ITERATIONS):
        if condition():
            return
        reactor.call_later(0.001, lambda: None)
        reactor.run_once()
    raise AssertionError('condition not met in time')


def _connect(server):
    sock = socket.create_connection(('127.0.0.1', server.port))
    sock.setblocking(False)
    return sock


def _read_until(reactor, sock, condition):
    data = bytearray()

    def read():
        with contextlib.suppress(BlockingIOError, ConnectionError):
            data.extend(sock.recv(65536))
        return condition(bytes(data))

    _run_until(reactor, read)
    return bytes(data)


POST = b'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc'
CHUNKED = (
    b'POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n'
)


# A HEAD request whose response had a body, as errors have, ended the process.
@pytest.mark.parametrize('status', [200, 204, 304, 404])
def test_response_without_body(status):
    """The body is left out where the protocol allows none."""

    def respond(exchange):
        exchange.respond(status, [], b'body')

    handler = RecordingHandler(respond)
    with _serve(handler) as (reactor, server):
        for method in (b'HEAD', b'GET'):
            sock = _connect(server)
            sock.send(method + b' /a HTTP/1.1\r\nHost: x\r\n\r\n' + POST)
            data = _read_until(
                reactor, sock, lambda data: data.count(b'HTTP/1.1') == 2
            )
            first, _, _ = data.rpartition(b'HTTP/1.1')
            has_body = method == b'GET' and status not in (204, 304)
            assert first.endswith(b'\r\n\r\n' + b'body' * has_body)
            sock.close()


# A successful response to CONNECT ended the process.
def test_connect_is_refused():
    """Nothing here is a tunnel, so the handler isn't asked for one."""
    handler = RecordingHandler()
    with _serve(handler) as (reactor, server):
        sock = _connect(server)
        sock.send(b'CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n')
        data = _read_until(reactor, sock, lambda data: b'\r\n\r\n' in data)
        assert data.startswith(b'HTTP/1.1 405')
        assert handler.refused == ['tunnel']
        assert not handler.exchanges
        sock.close()


@pytest.mark.parametrize('request_', [POST, CHUNKED])
def test_pipelined_requests(request_):
    """Requests on one connection are handled one after the other."""
    handler = RecordingHandler()
    with _serve(handler) as (reactor, server):
        sock = _connect(server)
        sock.send(request_ + request_)
        data = _read_until(
            reactor, sock, lambda data: data.count(b'<abc') == 2
        )
        assert data.count(b'HTTP/1.1 200') == 2
        sock.close()


@pytest.mark.parametrize(
    ('request_', 'status'),
    [
        (b'GET / HTTP/1.1\r\nHost: x\r\nBad header\r\n\r\n', b'400'),
        (b'\x16\x03\x01 hello\r\n\r\n', b'400'),
        (b'GET / HTTP/1.1\r\n\r\n', b'400'),
        (POST.replace(b': 3', b': 3\r\nContent-Length: 4'), b'400'),
        (
            CHUNKED.replace(b'chunked', b'chunked\r\nContent-Length: 3'),
            b'400',
        ),
        (CHUNKED.replace(b'chunked', b'gzip'), b'501'),
        (b'GET / HTTP/1.1\r\nX: ' + b'y' * 9000, b'431'),
        (
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999\r\n\r\n'
            + b'z' * 20_000,
            b'413',
        ),
    ],
)
def test_invalid_request_is_rejected(request_, status):
    """A malformed, ambiguous or oversized request is never handled."""
    handler = RecordingHandler()
    with _serve(handler) as (reactor, server):
        sock = _connect(server)
        sock.send(request_)
        data = _read_until(
            reactor, sock, lambda data: data.endswith(b'\r\n\r\n')
        )
        assert data.startswith(b'HTTP/1.1 ' + status), data
        assert b'close' in data
        assert not handler.exchanges
        assert len(handler.refused) == 1
        sock.close()


def test_expected_continue_response_is_sent_before_the_body():
    """A caller that waits for a 100 response gets it before it sends a body.

    It was only sent together with the final response, so that the caller
    waited for its own timeout first.
    """
    handler = RecordingHandler()
    with _serve(handler) as (reactor, server):
        sock = _connect(server)
        sock.send(
            POST.replace(b'\r\n\r\nabc', b'\r\nExpect: 100-continue\r\n\r\n')
        )
        data = _read_until(reactor, sock, lambda data: data)
        assert data.startswith(b'HTTP/1.1 100')
        sock.send(b'abc')
        data = _read_until(reactor, sock, lambda data: b'<abc' in data)
        assert data.startswith(b'HTTP/1.1 200')
        sock.close()


def test_disconnect_during_request():
    """A caller's disconnect is detected while its request is handled."""
    handler = RecordingHandler(_never_respond)
    with _serve(handler) as (reactor, server):
        sock = _connect(server)
        sock.send(POST)
        _run_until(reactor, lambda: handler.exchanges)
        sock.close()
        _run_until(reactor, lambda: handler.disconnected)
        assert not server.has_connections


def test_aborted_response_resets_the_connection():
    """An aborted response ends with a reset, so that it looks incomplete."""
    handler = RecordingHandler(_never_respond)
    with _serve(handler) as (reactor, server):
        sock = _connect(server)
        sock.send(POST)
        _run_until(reactor, lambda: handler.exchanges)
        exchange = handler.exchanges[0]
        exchange.start(200, [])
        exchange.write(b'part')
        _read_until(reactor, sock, lambda data: b'part' in data)
        exchange.abort()
        sock.setblocking(True)
        with pytest.raises(ConnectionResetError):
            sock.recv(100)
        sock.close()


# A late write to a finished response would reach the caller's next request on
# the same connection.
@pytest.mark.parametrize(
    'finish',
    [lambda exchange: exchange.end(), lambda exchange: exchange.abort()],
)
def test_finished_response_sends_nothing_more(finish):
    """Neither data nor an end, nor a reset of the connection."""
    handler = RecordingHandler(_never_respond)
    with _serve(handler) as (reactor, server):
        sock = _connect(server)
        sock.send(POST + POST)
        _run_until(reactor, lambda: handler.exchanges)
        first = handler.exchanges[0]
        first.start(200, [])
        first.write(b'first')
        first.end()
        _run_until(reactor, lambda: len(handler.exchanges) == 2)
        second = handler.exchanges[1]
        second.start(200, [])
        first.write(b'late')
        first.start(500, [])
        finish(first)
        first.respond(500, [], b'late')
        second.write(b'second')
        second.end()
        data = _read_until(reactor, sock, lambda data: b'second' in data)
        assert data.count(b'HTTP/1.1 200') == 2
        assert b'late' not in data and b'500' not in data
        sock.close()


def test_slow_reader_congests_only_its_connection():
    """Unsent output marks a connection as congested until it is read."""
    handler = RecordingHandler(_never_respond)
    with _serve(handler) as (reactor, server):
        slow, other = _connect(server), _connect(server)
        slow.send(POST)
        _run_until(reactor, lambda: handler.exchanges)
        exchange = handler.exchanges[0]
        drained = []
        exchange.on_drained = lambda: drained.append(1)
        exchange.start(200, [])
        while not exchange.is_congested:
            exchange.write(b'x' * 65536)
        other.send(POST)
        _run_until(reactor, lambda: len(handler.exchanges) == 2)
        _read_until(reactor, slow, lambda data: bool(drained))
        slow.close()
        other.close()


def test_closing_server_completes_received_requests():
    """A closing server responds with 'Connection: close', then closes."""
    handler = RecordingHandler(_never_respond)
    with _serve(handler) as (reactor, server):
        sock = _connect(server)
        sock.send(POST)
        _run_until(reactor, lambda: handler.exchanges)
        server.is_closing = True
        server.close_idle()
        handler.exchanges[0].respond(200, [], b'late')
        data = _read_until(reactor, sock, lambda data: b'late' in data)
        assert b'Connection: close' in data
        _run_until(reactor, lambda: not server.has_connections)
        sock.close()


class RecordedResponse:
    """Record the response to a call or its failure."""

    def __init__(self):
        self.status = 0
        self.body = bytearray()
        self.is_complete = False
        self.failure = None

    def handle_response_head(self, head):
        """Record the status."""
        self.status = head.status

    def handle_response_data(self, data):
        """Record a part of the body."""
        self.body += data

    def handle_response_end(self):
        """Record the end of the response."""
        self.is_complete = True

    def handle_call_failure(self, failure):
        """Record a failure."""
        self.failure = failure.value


def _call(reactor, port, response):
    call = client.Call(
        reactor=reactor,
        address=f'127.0.0.1:{port}',
        listener=response,
        connect_timeout_s=1.0,
    )
    headers = [(b'Host', b'x'), (b'Content-Length', b'2')]
    call.send('POST', '/a', headers, b'hi')
    return call


def test_call():
    """A call receives a complete response and closes its connection."""
    handler = RecordingHandler()
    with _serve(handler) as (reactor, server):
        response = RecordedResponse()
        call = _call(reactor, server.port, response)
        _run_until(reactor, lambda: response.is_complete)
        assert bytes(response.body) == b'<hi'
        assert response.status == 200
        assert call.may_have_sent
        assert not call.is_open


RAW_RESPONSES = [
    (b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc', 'closed_early'),
    (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab',
        'closed_early',
    ),
    (b'\x00\x01 nonsense\r\n\r\n', 'malformed'),
    (b'', 'closed_early'),
    (b'HTTP/1.1 200 OK\r\n\r\nwhole', None),
    (b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwholeEXTRA', None),
]


@pytest.mark.parametrize(('raw', 'failure'), RAW_RESPONSES)
def test_call_to_a_broken_server(raw, failure):
    """A response is complete only if its framing says so."""
    with (
        reactor_module.Reactor() as reactor,
        socket.create_server(('127.0.0.1', 0)) as listener,
    ):
        response = RecordedResponse()
        _call(reactor, listener.getsockname()[1], response)
        peer, _ = listener.accept()
        peer.setblocking(False)
        _read_until(reactor, peer, lambda data: data.endswith(b'hi'))
        peer.sendall(raw)
        peer.close()
        _run_until(reactor, lambda: response.is_complete or response.failure)
        assert response.failure == failure
        if failure is None:
            assert bytes(response.body) == b'whole'


def test_reset_does_not_complete_a_response():
    """A body without a length ends with a close, not with a reset."""
    with (
        reactor_module.Reactor() as reactor,
        socket.create_server(('127.0.0.1', 0)) as listener,
    ):
        response = RecordedResponse()
        _call(reactor, listener.getsockname()[1], response)
        peer, _ = listener.accept()
        peer.setblocking(False)
        _read_until(reactor, peer, lambda data: data.endswith(b'hi'))
        peer.sendall(b'HTTP/1.1 200 OK\r\n\r\npart')
        _run_until(reactor, lambda: response.body)
        peer.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            b'\x01\x00\x00\x00\x00\x00\x00\x00',
        )
        peer.close()
        _run_until(reactor, lambda: response.failure)
        assert response.failure == 'reset'


def test_refused_connection():
    """After a refused connection, the request is known not to be sent."""
    with reactor_module.Reactor() as reactor:
        with socket.create_server(('127.0.0.1', 0)) as listener:
            port = listener.getsockname()[1]
        response = RecordedResponse()
        call = _call(reactor, port, response)
        _run_until(reactor, lambda: response.failure)
        assert response.failure == 'connect_failed'
        assert not call.may_have_sent


# A suspended machine wrote requests for which its permits had expired.
def test_request_that_may_not_be_written():
    """Nothing is sent once the caller forbids it, however late it connects."""
    handler = RecordingHandler()
    with _serve(handler) as (reactor, server):
        response = RecordedResponse()
        call = _call(reactor, server.port, response)
        call.may_write = lambda: False
        _run_until(reactor, lambda: response.failure)
        assert response.failure == 'not_written'
        assert not call.may_have_sent
        assert not handler.exchanges


def _fail_without_descriptors(*arguments):
    raise OSError(errno.EMFILE, 'Too many open files')


def test_call_without_descriptors(monkeypatch):
    """A call fails, and doesn't end the process, if no descriptor is left."""
    failures: list[errors.Failure] = []
    listener: typing.Any = mock.Mock(handle_call_failure=failures.append)
    with reactor_module.Reactor() as reactor:
        monkeypatch.setattr(client.socket, 'socket', _fail_without_descriptors)
        call = client.Call(
            reactor=reactor,
            address='127.0.0.1:1',
            listener=listener,
            connect_timeout_s=1.0,
        )
        call.send('GET', '/', [(b'Host', b'x')], b'')
        assert not failures
        reactor.run_once()
        assert failures == [errors.Failure.CONNECT]
        assert not call.may_have_sent
