"""Test that bytes without end cost little and end with a failure.

Pattern: a broken peer sends bytes that are no request or no response, in a
head, between heads, in chunk framing or in trailers, until it is cut off.
"""

import contextlib
import socket

import pytest

from bambooring_core.http1 import client
from bambooring_core.http1 import const
from bambooring_core.http1 import messages
from bambooring_core.http1 import server as server_module
from bambooring_core import reactor as reactor_module

MAX_TURNS = 2000
# More than any limit, so that a connection that reads on is noticed.
SENT_BYTES = 40 * const.MAX_HEADER_BYTES
CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


class RecordedResponse:
    """Record whether a call ended and how."""

    def __init__(self):
        self.failure = None
        self.is_complete = False

    def handle_response_head(self, head):
        """Ignore the head."""

    def handle_response_data(self, data):
        """Ignore a part of the body."""

    def handle_response_end(self):
        """Record the end of the response."""
        self.is_complete = True

    def handle_call_failure(self, failure):
        """Record a failure."""
        self.failure = failure.value


def _turn(reactor):
    reactor.call_later(0.001, lambda: None)
    reactor.run_once()


def _send_endlessly(reactor, peer, start, repeated, is_over):
    """Send until the reader closes the connection or enough was sent."""
    peer.setblocking(False)
    pending = start
    sent = 0
    for _ in range(MAX_TURNS):
        if is_over() or sent > SENT_BYTES:
            return
        if len(pending) < 4096:
            pending += repeated * (4096 // len(repeated) + 1)
        try:
            count = peer.send(pending)
        except BlockingIOError:
            count = 0
        except OSError:
            return
        sent += count
        pending = pending[count:]
        _turn(reactor)


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (b'HTTP/1.1 200 OK\r\nX: ', b'a'),
        (b'HTTP/1.1 200 OK\r\n', b'X: a\r\n'),
        (b'HTTP/1.1 200 ', b'a'),
        (b'', b'\x00\xff'),
        (b'', b'\r\n'),
        (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
        (CHUNKED_HEAD, b'0'),
        (CHUNKED_HEAD + b'5;', b'a'),
        (CHUNKED_HEAD + b'5\r\nabcde', b'a'),
        (CHUNKED_HEAD + b'0\r\n', b'X: a\r\n'),
        (CHUNKED_HEAD + b'0\r\nX: ', b'a'),
    ],
)
def test_endless_response(start, repeated):
    """A call fails soon if the server sends anything but a response."""
    with (
        reactor_module.Reactor() as reactor,
        socket.create_server(('127.0.0.1', 0)) as listener,
    ):
        response = RecordedResponse()
        call = client.Call(
            reactor=reactor,
            address=f'127.0.0.1:{listener.getsockname()[1]}',
            listener=response,
            connect_timeout_s=1.0,
        )
        call.send('GET', '/', [(b'Host', b'x')], b'')
        peer, _ = listener.accept()
        with peer:
            _send_endlessly(
                reactor, peer, start, repeated, lambda: not call.is_open
            )
        assert response.failure == 'malformed'
        assert not response.is_complete


@contextlib.contextmanager
def _serve(exchanges):
    with reactor_module.Reactor() as reactor:
        server = server_module.Server(
            reactor=reactor,
            address='127.0.0.1:0',
            limits=messages.Limits(
                max_header_bytes=4096,
                max_body_bytes=10_000,
                header_timeout_s=3.0,
                idle_timeout_s=15.0,
            ),
            handle=exchanges.append,
            count_refused=lambda reason: None,
        )
        with server:
            yield reactor, server


def _count_unread(server):
    return sum(
        len(connection._http.trailing_data[0])
        for connection in server._connections
    )


def test_endless_bytes_behind_a_request():
    """What a caller sends behind a running request is not all kept."""
    exchanges: list[server_module.Exchange] = []
    with _serve(exchanges) as (reactor, server):
        sock = socket.create_connection(('127.0.0.1', server.port))
        with sock:
            request = b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n'
            _send_endlessly(reactor, sock, request, b'garbage ', lambda: False)
            assert len(exchanges) == 1
            assert _count_unread(server) <= 2 * const.READ_SIZE_BYTES


def test_pipelined_requests_beyond_the_limit_are_answered():
    """Requests that were not read while others ran are answered later."""
    exchanges: list[server_module.Exchange] = []
    with _serve(exchanges) as (reactor, server):
        count = 1200
        request = b'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 200\r\n\r\n'
        data = (request + b'x' * 200) * count
        sock = socket.create_connection(('127.0.0.1', server.port))
        sock.setblocking(False)
        answered = 0
        received = bytearray()
        for _ in range(20 * MAX_TURNS):
            with contextlib.suppress(BlockingIOError):
                data = data[sock.send(data) :] if data else data
            with contextlib.suppress(BlockingIOError):
                received += sock.recv(65536)
            while answered < len(exchanges):
                exchanges[answered].respond(200, [], b'ok')
                answered += 1
            if answered == count and received.count(b'HTTP/1.1 200') == count:
                break
            reactor.call_later(0.0, lambda: None)
            reactor.run_once()
        assert received.count(b'HTTP/1.1 200') == count
        sock.close()


def _has_refused(server):
    return bool(server._connections) and all(
        connection._is_lingering for connection in server._connections
    )


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (b'POST / HTTP/1.1\r\nX: ', b'a'),
        (b'POST / HTTP/1.1\r\n', b'X: a\r\n'),
        (b'', b'\x00\xff'),
        (b'', b'\r\n'),
        (
            b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n',
            b'0',
        ),
        (
            b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'0\r\n',
            b'X: a\r\n',
        ),
        (
            b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n',
            b'1\r\na\r\n',
        ),
    ],
)
def test_endless_request(start, repeated):
    """A caller that sends anything but a request is told so and cut off."""
    exchanges: list[server_module.Exchange] = []
    with _serve(exchanges) as (reactor, server):
        sock = socket.create_connection(('127.0.0.1', server.port))
        with sock:
            _send_endlessly(
                reactor, sock, start, repeated, lambda: _has_refused(server)
            )
            assert not exchanges
            assert _has_refused(server) or not server._connections
