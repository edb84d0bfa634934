"""Serve and call over loopback sockets, with both ends in one reactor."""

import contextlib
import socket

import pytest

from bambooring_core.http1 import client
from bambooring_core.http1 import messages
from bambooring_core.http1 import server as server_module
from bambooring_core import reactor as reactor_module

LIMITS = messages.Limits(
    max_header_bytes=4096,
    max_body_bytes=10_000,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)
TURNS = 2000


class Peer:
    """Collect what a server hands over, and answer as told."""

    def __init__(self, answer=None):
        self.exchanges = []
        self.refused = []
        self.gone = []
        self._answer = answer or _answer_ok

    def handle(self, exchange):
        """Take a request."""
        self.exchanges.append(exchange)
        exchange.on_disconnect = lambda: self.gone.append(exchange)
        self._answer(exchange)


def _answer_ok(exchange):
    exchange.respond(200, [(b'X-A', b'1')], b'<' + exchange.request.body)


def _answer_never(exchange):
    pass


@contextlib.contextmanager
def _serve(peer):
    with reactor_module.Reactor() as reactor:
        server = server_module.Server(
            reactor=reactor,
            address='127.0.0.1:0',
            limits=LIMITS,
            handle=peer.handle,
            count_refused=peer.refused.append,
        )
        with server:
            yield reactor, server


def _turn_until(reactor, condition):
    for _ in range(TURNS):
        if condition():
            return
        reactor.call_later(0.001, lambda: None)
        reactor.run_once()
    raise AssertionError('nothing happened')


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

    _turn_until(reactor, read)
    return bytes(data)


POST = b'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc'
CHUNKED = (
    b'POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n'
)


@pytest.mark.parametrize('request_', [POST, CHUNKED])
def test_answer_on_a_kept_connection(request_):
    """Requests on one connection are answered one after the other."""
    peer = Peer()
    with _serve(peer) as (reactor, server):
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
def test_refuse_what_breaks_the_protocol(request_, status):
    """What can't be read, or in two ways, never becomes a request."""
    peer = Peer()
    with _serve(peer) as (reactor, server):
        sock = _connect(server)
        sock.send(request_)
        data = _read_until(
            reactor, sock, lambda data: data.endswith(b'\r\n\r\n')
        )
        assert data.startswith(b'HTTP/1.1 ' + status), data
        assert b'close' in data
        assert not peer.exchanges
        assert len(peer.refused) == 1
        sock.close()


def test_caller_leaves_before_the_answer():
    """A caller that closes is noticed while its request is handled."""
    peer = Peer(_answer_never)
    with _serve(peer) as (reactor, server):
        sock = _connect(server)
        sock.send(POST)
        _turn_until(reactor, lambda: peer.exchanges)
        sock.close()
        _turn_until(reactor, lambda: peer.gone)
        assert not server.has_connections


def test_broken_answer_looks_broken():
    """An answer that is broken off ends in a reset, not in an end."""
    peer = Peer(_answer_never)
    with _serve(peer) as (reactor, server):
        sock = _connect(server)
        sock.send(POST)
        _turn_until(reactor, lambda: peer.exchanges)
        exchange = peer.exchanges[0]
        exchange.start(200, [])
        exchange.write(b'part')
        _read_until(reactor, sock, lambda data: b'part' in data)
        exchange.abort()
        sock.setblocking(True)
        with pytest.raises(ConnectionResetError):
            sock.recv(100)
        sock.close()


def test_slow_reader_pauses_only_itself():
    """Output that waits for a slow reader is seen as congestion."""
    peer = Peer(_answer_never)
    with _serve(peer) as (reactor, server):
        slow, other = _connect(server), _connect(server)
        slow.send(POST)
        _turn_until(reactor, lambda: peer.exchanges)
        exchange = peer.exchanges[0]
        drained = []
        exchange.on_drained = lambda: drained.append(1)
        exchange.start(200, [])
        while not exchange.is_congested:
            exchange.write(b'x' * 65536)
        other.send(POST)
        _turn_until(reactor, lambda: len(peer.exchanges) == 2)
        _read_until(reactor, slow, lambda data: bool(drained))
        slow.close()
        other.close()


def test_closing_server_finishes_what_it_read():
    """A server that closes answers what it has read, then says close."""
    peer = Peer(_answer_never)
    with _serve(peer) as (reactor, server):
        sock = _connect(server)
        sock.send(POST)
        _turn_until(reactor, lambda: peer.exchanges)
        server.is_closing = True
        server.close_idle()
        peer.exchanges[0].respond(200, [], b'late')
        data = _read_until(reactor, sock, lambda data: b'late' in data)
        assert b'Connection: close' in data
        _turn_until(reactor, lambda: not server.has_connections)
        sock.close()


class Answer:
    """Collect what a call receives."""

    def __init__(self):
        self.status = 0
        self.body = bytearray()
        self.is_whole = False
        self.failure = None

    def handle_response_head(self, head):
        """Take the head."""
        self.status = head.status

    def handle_response_data(self, data):
        """Take a part of the body."""
        self.body += data

    def handle_response_end(self):
        """Take the end."""
        self.is_whole = True

    def handle_call_failure(self, failure):
        """Take a failure."""
        self.failure = failure.value


def _call(reactor, port, answer):
    call = client.Call(
        reactor=reactor,
        address=f'127.0.0.1:{port}',
        listener=answer,
        connect_timeout_s=1.0,
    )
    headers = [(b'Host', b'x'), (b'Content-Length', b'2')]
    call.send('POST', '/a', headers, b'hi')
    return call


def test_call():
    """A call brings back the whole response."""
    peer = Peer()
    with _serve(peer) as (reactor, server):
        answer = Answer()
        call = _call(reactor, server.port, answer)
        _turn_until(reactor, lambda: answer.is_whole)
        assert bytes(answer.body) == b'<hi'
        assert answer.status == 200
        assert call.may_have_sent
        assert not call.is_open


RAW = [
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


@pytest.mark.parametrize(('raw', 'failure'), RAW)
def test_call_to_a_broken_server(raw, failure):
    """A response is whole only if its own framing says so."""
    with (
        reactor_module.Reactor() as reactor,
        socket.create_server(('127.0.0.1', 0)) as listener,
    ):
        answer = Answer()
        _call(reactor, listener.getsockname()[1], answer)
        peer, _ = listener.accept()
        peer.setblocking(False)
        _read_until(reactor, peer, lambda data: data.endswith(b'hi'))
        peer.sendall(raw)
        peer.close()
        _turn_until(reactor, lambda: answer.is_whole or answer.failure)
        assert answer.failure == failure
        if failure is None:
            assert bytes(answer.body) == b'whole'


def test_reset_is_no_end():
    """A body without a length ends with a close, not with a reset."""
    with (
        reactor_module.Reactor() as reactor,
        socket.create_server(('127.0.0.1', 0)) as listener,
    ):
        answer = Answer()
        _call(reactor, listener.getsockname()[1], answer)
        peer, _ = listener.accept()
        peer.setblocking(False)
        _read_until(reactor, peer, lambda data: data.endswith(b'hi'))
        peer.sendall(b'HTTP/1.1 200 OK\r\n\r\npart')
        _turn_until(reactor, lambda: answer.body)
        peer.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            b'\x01\x00\x00\x00\x00\x00\x00\x00',
        )
        peer.close()
        _turn_until(reactor, lambda: answer.failure)
        assert answer.failure == 'reset'


def test_nobody_listens():
    """A request that was never sent is known not to have run."""
    with reactor_module.Reactor() as reactor:
        with socket.create_server(('127.0.0.1', 0)) as listener:
            port = listener.getsockname()[1]
        answer = Answer()
        call = _call(reactor, port, answer)
        _turn_until(reactor, lambda: answer.failure)
        assert answer.failure == 'connect_failed'
        assert not call.may_have_sent
