"""Serve WSGI applications over HTTP with cheroot."""

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
MAX_KEEP_ALIVE_CONNECTIONS = 2000
MAX_HEADER_BYTES = 32 * 1024

WsgiApplication = collections.abc.Callable[..., typing.Any]
MakeErrorBody = collections.abc.Callable[[int, str], tuple[bytes, list]]


def make_plain_error(status: int, reason: str) -> tuple[bytes, list]:
    """Return the JSON body and the extra headers of an error response."""
    body = json.dumps({'error': {'reason': reason, 'status': status}})
    return body.encode(), []


class _Request(cheroot.server.HTTPRequest):
    """An HTTP request whose error responses have the server's format."""

    def respond(self):
        """Respond; close the connection if the response is aborted."""
        try:
            super().respond()
        except errors.ResponseAbortedError:
            self.close_connection = True

    def simple_response(self, status, msg=''):
        """Send an error response and close the connection."""
        status_text, _, phrase = str(status).partition(' ')
        status_code = int(status_text)
        if status_code < 400:
            super().simple_response(status, msg)
            return
        reason = _get_error_reason(status_code, phrase)
        body, headers = self.server.make_error(status_code, reason)
        self.close_connection = True
        lines = [
            f'{self.server.protocol} {status_code} '
            f'{http.HTTPStatus(status_code).phrase}',
            f'Content-Length: {len(body)}',
            'Content-Type: application/json',
            'Connection: close',
            *(f'{name}: {value}' for name, value in headers),
        ]
        head = '\r\n'.join(lines) + '\r\n\r\n'
        try:
            self.conn.wfile.write(head.encode('latin-1') + body)
        except OSError:
            LOG.debug('caller disconnected before the error response was sent')


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
    """A raw stream with a deadline for all reads of one request.

    The timeout of a socket applies to each read, so that a peer that sends
    slowly could occupy a thread for much longer.
    """

    def __init__(self, sock, mode):
        super().__init__(sock, mode)
        self._connection = sock
        self.deadline_s: float | None = None

    def readinto(self, buffer):
        """Read some bytes.

        :raises TimeoutError: if the deadline has passed
        """
        if self.deadline_s is None:
            return super().readinto(buffer)
        remaining_s = self.deadline_s - time.monotonic()
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
    """A buffered reader on a raw stream that has a deadline."""

    def __init__(self, raw):
        # Skip the initializer of StreamReader, which would create a raw
        # stream without a deadline.
        super(cheroot.makefile.StreamReader, self).__init__(raw)
        self.bytes_read = 0


class _Connection(cheroot.server.HTTPConnection):
    """A connection that limits the total time to read a request."""

    RequestHandlerClass = _Request

    def __init__(self, server, sock, makefile=cheroot.makefile.MakeFile):
        super().__init__(server, sock, makefile)
        self._raw = _DeadlineIO(sock, 'rb')
        self.rfile = _Reader(self._raw)

    def communicate(self):
        """Read one request and respond to it."""
        self._raw.deadline_s = time.monotonic() + REQUEST_READ_TIMEOUT_S
        return super().communicate()


class _Gateway(cheroot.wsgi.Gateway_10):
    """Pass the caller's socket to the application.

    The application checks it for a disconnect and may let another thread
    write the response body to it.
    """

    def get_environ(self):
        """Return the WSGI environment with the socket and the head sender."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.req.conn.socket
        environ[SEND_HEAD_KEY] = self.req.ensure_headers_sent
        return environ

    def start_response(self, status, headers, exc_info=None):
        """Start the response and honour its 'Connection: close' header."""
        if ('Connection', 'close') in headers:
            self.req.close_connection = True
        return super().start_response(status, headers, exc_info)


class _Server(cheroot.wsgi.Server):
    """A WSGI server that logs with structlog.

    ``make_error`` makes the body and the extra headers of error responses.
    """

    make_error: MakeErrorBody

    def error_log(self, msg='', level=20, traceback=False):
        """Log an error or a message of the server."""
        if traceback:
            LOG.warning('HTTP server error', detail=msg, exc_info=True)
        else:
            LOG.debug('HTTP server message', detail=msg)


class HttpServer:
    """Serve one WSGI application on one address from a thread pool."""

    def __init__(
        self,
        *,
        address: tuple[str, int],
        application: WsgiApplication,
        threads: int,
        max_body_bytes: int,
        make_error: MakeErrorBody = make_plain_error,
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
        self._server.keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
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
    """Check whether the caller has closed its end of a connection.

    :param sock: the caller's socket
    :returns: True if the end of the input has been reached, or on an error
    """
    # recv() on a socket with a timeout would wait for input; poll() does not.
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    if not poll.poll(0):
        return False
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        return True
