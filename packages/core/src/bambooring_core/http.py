"""Serve WSGI applications over HTTP with cheroot."""

import collections.abc
import contextlib
import http
import io
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
from bambooring_core.http1 import const as http1_const
from bambooring_core import uploads as uploads_module

LOG = structlog.get_logger(__name__)

SOCKET_KEY = 'bambooring.socket'
SEND_HEAD_KEY = 'bambooring.send_head'
SOCKET_TIMEOUT_S = 10
REQUEST_READ_TIMEOUT_S = 10
MAX_KEEP_ALIVE_CONNECTIONS = 2000
READ_PART_BYTES = 64 * 1024
MAX_HEADER_BYTES = 32 * 1024

WsgiApplication = collections.abc.Callable[..., typing.Any]
MakeErrorBody = collections.abc.Callable[[int, str], tuple[bytes, list]]


def make_plain_error(status: int, reason: str) -> tuple[bytes, list]:
    """Return the JSON body and the extra headers of an error response."""
    body = json.dumps({'error': {'reason': reason, 'status': status}})
    headers = [('Retry-After', '1')] if status == 503 else []
    return body.encode(), headers


class _Request(cheroot.server.HTTPRequest):
    """An HTTP request whose error responses have the server's format."""

    def respond(self):
        """Respond; close the connection if the response is aborted."""
        try:
            super().respond()
        except errors.ResponseAbortedError:
            self.close_connection = True
        except errors.MemoryShortError:
            self.close_connection = True
            if not self.sent_headers:
                self.simple_response('503 Service Unavailable')

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
    if status == 503:
        return 'memory'
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
        self.upload: uploads_module.Upload | None = None

    def readinto(self, buffer):
        """Read some bytes.

        :raises TimeoutError: if the deadline has passed
        """
        count = self._readinto_in_time(buffer)
        if self.upload is not None:
            self.upload.moved_s = time.monotonic()
        return count

    def _readinto_in_time(self, buffer):
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
    """A buffered reader on a raw stream that has a deadline.

    The server reads heads and the framing of chunks by lines, and only bodies
    by size.
    """

    def __init__(self, raw, uploads):
        # Skip the initializer of StreamReader, which would create a raw
        # stream without a deadline.
        super(cheroot.makefile.StreamReader, self).__init__(raw)
        self.bytes_read = 0
        self._source = raw
        self._uploads = uploads

    def read(self, size=-1):
        """Read a part of a body.

        :raises MemoryShortError: if there is no memory for it
        """
        upload = self._source.upload
        if upload is None:
            return self._read_body(size)
        self._uploads.begin_read(upload, max(0, size))
        data = self._read_body(size)
        self._uploads.end_read(upload)
        return data

    def _read_body(self, size):
        """Read as many bytes, or up to the end of the input.

        The parent allocates ``size`` bytes for each read of the raw stream,
        and holds all bytes twice when it joins them.
        """
        if size <= READ_PART_BYTES:
            return super().read(size)
        buffered_bytes = len(self.peek(0))
        body = io.BytesIO()
        body.write(super().read(min(size, buffered_bytes)))
        part = memoryview(bytearray(READ_PART_BYTES))
        while (missing := size - body.tell()) > 0:
            count = self._source.readinto(part[:missing])
            if not count:
                break
            body.write(part[:count])
            self.bytes_read += count
        return body.getvalue()


class _Connection(cheroot.server.HTTPConnection):
    """A connection that limits the total time to read a request."""

    RequestHandlerClass = _Request

    def __init__(self, server, sock, makefile=cheroot.makefile.MakeFile):
        super().__init__(server, sock, makefile)
        # The parent's caches of unused methods refer to the connection, which
        # would keep it and its input until the next garbage collection.
        del self.resolve_peer_creds
        del self.get_peer_creds
        self._raw = _DeadlineIO(sock, 'rb')
        self.rfile = _Reader(self._raw, server.uploads)

    def communicate(self):
        """Read one request and respond to it."""
        self._raw.deadline_s = time.monotonic() + REQUEST_READ_TIMEOUT_S
        uploads = self.server.uploads
        if uploads is None:
            return super().communicate()
        with uploads.open(self.socket) as upload:
            self._raw.upload = upload
            is_kept_open = super().communicate()
            self._raw.upload = None
        if upload.is_refused:
            self._drain()
        return is_kept_open

    def _drain(self):
        """Drop what a refused caller still sends, so that it reads why.

        A socket that is closed with unread input resets the connection.
        """
        end_s = time.monotonic() + http1_const.REFUSAL_LINGER_S
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            self.socket.settimeout(http1_const.STALL_S)
            while time.monotonic() < end_s:
                if not self.socket.recv(http1_const.READ_SIZE_BYTES):
                    return


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
    ``uploads`` accounts for bodies, or is None if they have no common limit.
    """

    make_error: MakeErrorBody
    uploads: uploads_module.Uploads | None

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
        uploads: uploads_module.Uploads | None = None,
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
        self._server.uploads = uploads
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
