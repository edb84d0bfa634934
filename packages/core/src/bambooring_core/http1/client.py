"""Call HTTP servers, with a separate connection for each request.

A connection is closed after its request. A late or surplus response can
therefore never be taken for that of the next request, and a request is never
sent on a kept connection that has meanwhile stalled or been dropped.
"""

import collections
import collections.abc
import contextlib
import errno
import selectors
import socket
import struct
import typing

import h11
import structlog

from bambooring_core.http1 import checks
from bambooring_core.http1 import const
from bambooring_core.http1 import errors
from bambooring_core.http1 import messages
from bambooring_core import links
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)

# SO_LINGER enabled with a timeout of zero: close() resets the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class CallListener(typing.Protocol):
    """Receive the response to a call, or its failure."""

    def handle_response_head(self, head: messages.ResponseHead) -> None:
        """Handle the status and headers of the response."""

    def handle_response_data(self, data: bytes) -> None:
        """Handle a part of the response body."""

    def handle_response_end(self) -> None:
        """Handle the end of a complete response."""

    def handle_call_failure(self, failure: errors.Failure) -> None:
        """Handle a failure; no complete response will follow."""


class Call:
    """One request to a server and its response."""

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        address: str,
        listener: CallListener,
        connect_timeout_s: float,
        has_bounded_buffers: bool = False,
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._listener = listener
        self._http = h11.Connection(h11.CLIENT)
        # The body is sent from the caller's own bytes, which aren't copied.
        self._unsent_parts: collections.deque[memoryview] = collections.deque()
        self._is_connecting = True
        self._is_paused = False
        self._is_body_expected = True
        self._informational_count = 0
        self._timer = reactor.call_later(
            connect_timeout_s,
            lambda: self._fail(errors.Failure.CONNECT_TIMEOUT),
        )
        self._socket = open_socket()
        if has_bounded_buffers and self._socket is not None:
            bound_buffers(self._socket)
        self.is_open = True
        # Whether any byte of the request may have been sent.
        self.may_have_sent = False
        # If set, it is called just before the first byte is written; if it
        # returns False, nothing is sent and the call fails.
        self.may_write: collections.abc.Callable[[], bool] | None = None

    def send(
        self,
        method: str,
        target: str,
        headers: messages.Headers,
        body: bytes | bytearray,
    ) -> None:
        """Connect and send the request; may be called once.

        :param method: the HTTP method
        :param target: the path and the query
        :param headers: all headers, including the body's length
        :param body: the body
        """
        self._is_body_expected = method != 'HEAD'
        request = h11.Request(method=method, target=target, headers=headers)
        self._add_output(request)
        if body:
            self._add_output(h11.Data(data=typing.cast(bytes, body)))
        self._add_output(h11.EndOfMessage())
        if self._socket is None:
            self._reactor.call_soon(lambda: self._fail(errors.Failure.CONNECT))
            return
        error_number = self._socket.connect_ex(
            links.split_address(self._address)
        )
        if error_number not in (0, errno.EINPROGRESS):
            self._reactor.call_soon(lambda: self._fail(errors.Failure.CONNECT))
            return
        self._reactor.watch(
            self._socket, selectors.EVENT_WRITE, self._on_ready
        )

    def _add_output(self, event: h11.Event) -> None:
        parts = self._http.send_with_data_passthrough(event) or []
        self._unsent_parts.extend(memoryview(part) for part in parts if part)

    @property
    def surplus(self) -> bytes:
        """Return what has been received behind the response."""
        return self._http.trailing_data[0]

    def pause(self) -> None:
        """Stop reading until :meth:`resume`."""
        if not self._is_paused:
            self._is_paused = True
            self._watch()

    def resume(self) -> None:
        """Continue reading after :meth:`pause`."""
        if self._is_paused:
            self._is_paused = False
            self._watch()

    def _watch(self) -> None:
        if self._socket is None or not self.is_open or self._is_connecting:
            return
        events = 0 if self._is_paused else selectors.EVENT_READ
        if self._unsent_parts:
            events |= selectors.EVENT_WRITE
        if events:
            self._reactor.watch(self._socket, events, self._on_ready)
        else:
            self._reactor.unwatch(self._socket)

    def _on_ready(self, events: int) -> None:
        if not self.is_open:
            return
        assert self._socket is not None
        if self._is_connecting:
            self._finish_connect()
            return
        if events & selectors.EVENT_WRITE:
            self._flush()
        if events & selectors.EVENT_READ and self.is_open:
            self._receive()

    def _finish_connect(self) -> None:
        assert self._socket is not None
        if self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._fail(errors.Failure.CONNECT)
            return
        self._is_connecting = False
        self._timer.cancel()
        if self.may_write is not None and not self.may_write():
            self._fail(errors.Failure.NOT_WRITTEN)
            return
        self._flush()

    def _flush(self) -> None:
        assert self._socket is not None
        if self._unsent_parts:
            self.may_have_sent = True
            try:
                sent = self._socket.sendmsg(self._unsent_parts)
            except BlockingIOError:
                sent = 0
            except OSError:
                self._receive_last()
                self._fail(errors.Failure.RESET)
                return
            self._drop_sent(sent)
        self._watch()

    def _drop_sent(self, sent: int) -> None:
        while sent:
            part = self._unsent_parts.popleft()
            if sent < len(part):
                self._unsent_parts.appendleft(part[sent:])
            sent -= min(sent, len(part))

    def _receive_last(self) -> None:
        """Receive what a server sent before it stopped reading, if any."""
        assert self._socket is not None
        with contextlib.suppress(OSError):
            if self._socket.recv(1, socket.MSG_PEEK):
                self._receive()

    def _receive(self) -> None:
        assert self._socket is not None
        try:
            data = self._socket.recv(const.READ_SIZE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._fail(errors.Failure.RESET)
            return
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError:
            failure = errors.Failure.MALFORMED
            if not data:
                failure = errors.Failure.CLOSED_EARLY
            self._fail(failure)

    def _read_events(self) -> None:
        while self.is_open:
            event = self._http.next_event()
            match event:
                case h11.Response() if not checks.is_valid_status(
                    event.status_code
                ):
                    self._fail(errors.Failure.MALFORMED)
                case h11.Response():
                    head = messages.ResponseHead(
                        status=event.status_code,
                        headers=list(event.headers.raw_items()),
                        has_length=not self._is_body_expected
                        or checks.has_length(event),
                    )
                    self._listener.handle_response_head(head)
                case h11.Data():
                    self._listener.handle_response_data(bytes(event.data))
                case h11.EndOfMessage():
                    self.close()
                    self._listener.handle_response_end()
                case h11.InformationalResponse():
                    self._count_informational()
                case h11.ConnectionClosed():
                    self._fail(errors.Failure.CLOSED_EARLY)
                case _:
                    return

    def _count_informational(self) -> None:
        self._informational_count += 1
        if self._informational_count > const.MAX_INFORMATIONAL_RESPONSES:
            self._fail(errors.Failure.MALFORMED)

    def _fail(self, failure: errors.Failure) -> None:
        if not self.is_open:
            return
        self.close()
        self._listener.handle_call_failure(failure)

    def abort(self) -> None:
        """Reset the connection, so that the server stops its work at once."""
        if not self.is_open:
            return
        if self._socket is None:
            self.close()
            return
        with contextlib.suppress(OSError):
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self.close()

    def close(self) -> None:
        """Close the connection without calling the listener."""
        if not self.is_open:
            return
        self.is_open = False
        self._unsent_parts.clear()
        self._timer.cancel()
        if self._socket is not None:
            self._reactor.unwatch(self._socket)
            self._socket.close()


def open_socket() -> socket.socket | None:
    """Return a new socket, or None if no descriptor is left for it."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        LOG.warning('cannot open a connection', error=str(error))
        return None
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def bound_buffers(sock: socket.socket) -> None:
    """Bound the kernel's buffers of a socket that isn't connected yet.

    Connections that a listening socket accepts inherit its bounds.
    """
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, const.SOCKET_BUFFER_BYTES)


CallFactory = collections.abc.Callable[..., Call]
