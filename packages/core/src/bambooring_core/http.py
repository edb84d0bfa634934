"""Serve HTTP with cheroot for the callers' and the operators' sides."""

import collections.abc
import http
import json
import select
import socket
import threading
import time
import types
import typing

import cheroot.makefile
import cheroot.server
import cheroot.wsgi
import structlog

from bambooring_core import errors

LOG = structlog.get_logger(__name__)

SOCKET_KEY = 'bambooring.socket'
SEND_HEAD_KEY = 'bambooring.send_head'
SOCKET_TIMEOUT_S = 10
REQUEST_READ_TIMEOUT_S = 10
KEEP_ALIVE_LIMIT = 2000
MAX_HEADER_BYTES = 32 * 1024

WsgiApplication = collections.abc.Callable[..., typing.Any]
ErrorBody = collections.abc.Callable[[int, str], tuple[bytes, list]]


def make_plain_error(status: int, reason: str) -> tuple[bytes, list]:
    """Return the body and the headers of an error."""
    body = json.dumps({'error': {'reason': reason, 'status': status}})
    return body.encode(), []


class _Request(cheroot.server.HTTPRequest):
    """Answer a request that could not be read with a typed body."""

    def respond(self):
        """Answer, or break the connection off where the answer asks it."""
        try:
            super().respond()
        except errors.ResponseAbortedError:
            self.close_connection = True

    def simple_response(self, status, msg=''):
        """Send an error and end the connection."""
        code, _, phrase = str(status).partition(' ')
        number = int(code)
        if number < 400:
            super().simple_response(status, msg)
            return
        reason = _get_error_reason(number, phrase)
        body, headers = self.server.make_error(number, reason)
        self.close_connection = True
        lines = [
            f'{self.server.protocol} {number} '
            f'{http.HTTPStatus(number).phrase}',
            f'Content-Length: {len(body)}',
            'Content-Type: application/json',
            'Connection: close',
            *(f'{name}: {value}' for name, value in headers),
        ]
        head = '\r\n'.join(lines) + '\r\n\r\n'
        try:
            self.conn.wfile.write(head.encode('latin-1') + body)
        except OSError:
            LOG.debug('caller gone before the error was sent')


def _get_error_reason(status: int, phrase: str) -> str:
    if status == 413:
        return 'too_large'
    if status == 414:
        return 'uri_too_long'
    if status == 408:
        return 'too_slow'
    if status >= 500:
        return 'internal_error'
    return 'malformed_request'


class _DeadlineIO(socket.SocketIO):
    """Read from a socket until a deadline, however slowly bytes drip in."""

    def __init__(self, sock, mode):
        super().__init__(sock, mode)
        self._connection = sock
        self.deadline: float | None = None

    def readinto(self, buffer):
        """Read some bytes, or raise TimeoutError after the deadline."""
        if self.deadline is None:
            return super().readinto(buffer)
        remaining_s = self.deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError('timed out')
        sock = self._connection
        previous_timeout_s = sock.gettimeout()
        sock.settimeout(remaining_s)
        try:
            return super().readinto(buffer)
        finally:
            sock.settimeout(previous_timeout_s)


class _Reader(cheroot.makefile.StreamReader):
    """Read a connection through the deadline."""

    def __init__(self, raw):
        # Skip the parent's own set-up, which would make a plain reader.
        super(cheroot.makefile.StreamReader, self).__init__(raw)
        self.bytes_read = 0


class _Connection(cheroot.server.HTTPConnection):
    """Use our request class and bound the time to read a request."""

    RequestHandlerClass = _Request

    def __init__(self, server, sock, makefile=cheroot.makefile.MakeFile):
        super().__init__(server, sock, makefile)
        self._raw = _DeadlineIO(sock, 'rb')
        self.rfile = _Reader(self._raw)

    def communicate(self):
        """Read one request and answer it."""
        self._raw.deadline = time.monotonic() + REQUEST_READ_TIMEOUT_S
        return super().communicate()


class _Gateway(cheroot.wsgi.Gateway_10):
    """Give the application the caller's socket, to see and to lend."""

    def get_environ(self):
        """Return the WSGI environment."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.req.conn.socket
        environ[SEND_HEAD_KEY] = self.req.ensure_headers_sent
        return environ

    def start_response(self, status, headers, exc_info=None):
        """Begin the response; a 'Connection: close' is kept to."""
        if ('Connection', 'close') in headers:
            self.req.close_connection = True
        return super().start_response(status, headers, exc_info)


class _Server(cheroot.wsgi.Server):
    """Hold how errors are answered and logged."""

    make_error: ErrorBody

    def error_log(self, msg='', level=20, traceback=False):
        """Log what went wrong in a connection."""
        if traceback:
            LOG.warning('http error', detail=msg, exc_info=True)
        else:
            LOG.debug('http', detail=msg)


class HttpServer:
    """Serve one WSGI application on one address."""

    def __init__(
        self,
        *,
        address: tuple[str, int],
        application: WsgiApplication,
        threads: int,
        max_body_bytes: int,
        make_error: ErrorBody = make_plain_error,
    ) -> None:
        self._server = _Server(
            address,
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=1024,
            timeout=SOCKET_TIMEOUT_S,
            shutdown_timeout=5,
        )
        self._server.gateway = _Gateway
        self._server.ConnectionClass = _Connection
        self._server.make_error = make_error
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = max_body_bytes
        self._server.keep_alive_conn_limit = KEEP_ALIVE_LIMIT
        self._thread: threading.Thread | None = None

    def __enter__(self) -> typing.Self:
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name='http', daemon=True
        )
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._server.stop()
        if self._thread is not None:
            self._thread.join()


def is_closed(sock: socket.socket) -> bool:
    """Tell whether the other end has closed its side.

    :param sock: the caller's socket
    :returns: True once the end of its input can be read
    """
    # A socket with a timeout would wait for input; the poll does not.
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    if not poll.poll(0):
        return False
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        return True
