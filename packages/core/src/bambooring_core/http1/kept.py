"""Make repeated calls to one HTTP server over one kept connection.

Only the first call of a connection is made at most once. If the server closes
a kept connection before it responds to a later one, that call is made again on
a new one, so it must be one that may be repeated, such as a poll.

A server may send a second copy of a response late, when the next call has
been sent. The copy can't be told from the answer to that call, but it was made
after the connection was opened. What must be newer than some event is
therefore read over a connection that was opened after the event.
"""

import collections.abc
import errno
import selectors
import socket

import h11

from bambooring_core.http1 import checks
from bambooring_core.http1 import client
from bambooring_core.http1 import const
from bambooring_core.http1 import messages
from bambooring_core import links
from bambooring_core import reactor as reactor_module

# Is called with the status and the body; status 0 means no complete response.
ResponseCallback = collections.abc.Callable[[int, bytes], None]


class KeptConnection:
    """A connection that is used for one call after another.

    A call without a complete response in time closes the connection, so that
    a late response is never taken for that of the next call.
    """

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        address: str,
        timeout_s: float,
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._timeout_s = timeout_s
        self._socket: socket.socket | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._is_connecting = False
        self._is_reused = False
        self._request: h11.Request | None = None
        self._request_body = b''
        self._informational_count = 0
        self._out_buffer = bytearray()
        self._status = 0
        self._body = bytearray()
        self._callback: ResponseCallback | None = None
        self._timer: reactor_module.Timer | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether a call may be made."""
        return self._callback is None

    def call(
        self,
        method: str,
        target: str,
        headers: messages.Headers,
        callback: ResponseCallback,
        request_body: bytes = b'',
    ) -> None:
        """Make a call; the connection must be idle.

        :param method: the HTTP method
        :param target: the path and the query
        :param headers: all headers, including the body's length
        :param callback: is called once, with the response or its failure
        :param request_body: the body of the request
        """
        assert self.is_idle
        self._callback = callback
        self._request_body = request_body
        self._status = 0
        self._informational_count = 0
        self._body.clear()
        self._timer = self._reactor.call_later(self._timeout_s, self._fail)
        self._is_reused = self._socket is not None
        self._request = h11.Request(
            method=method, target=target, headers=headers
        )
        if self._socket is None:
            self._connect()
        else:
            self._send()

    def close(self) -> None:
        """Close the connection; a call under way gets no response."""
        if self._timer is not None:
            self._timer.cancel()
        self._callback = None
        self._drop()

    def abort(self) -> None:
        """Close the connection; a call under way fails."""
        self._fail()

    def _connect(self) -> None:
        self._http = h11.Connection(h11.CLIENT)
        self._socket = client.open_socket()
        if self._socket is None:
            self._reactor.call_soon(self._fail)
            return
        self._is_connecting = True
        error_number = self._socket.connect_ex(
            links.split_address(self._address)
        )
        if error_number not in (0, errno.EINPROGRESS):
            self._reactor.call_soon(self._fail)
            return
        self._reactor.watch(
            self._socket, selectors.EVENT_WRITE, self._on_ready
        )

    def _send(self) -> None:
        assert self._request is not None
        self._out_buffer += self._http.send(self._request) or b''
        if self._request_body:
            body = h11.Data(data=self._request_body)
            self._out_buffer += self._http.send(body) or b''
        self._out_buffer += self._http.send(h11.EndOfMessage()) or b''
        self._flush()

    def _on_ready(self, events: int) -> None:
        if self._socket is None:
            return
        if self._is_connecting:
            if self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self._fail()
                return
            self._is_connecting = False
            self._send()
            return
        if events & selectors.EVENT_WRITE:
            self._flush()
        if events & selectors.EVENT_READ and self._socket is not None:
            self._receive()

    def _flush(self) -> None:
        assert self._socket is not None
        if self._out_buffer:
            try:
                sent = self._socket.send(self._out_buffer)
            except BlockingIOError:
                sent = 0
            except OSError:
                self._handle_close()
                return
            del self._out_buffer[:sent]
        events = selectors.EVENT_READ
        if self._out_buffer:
            events |= selectors.EVENT_WRITE
        self._reactor.watch(self._socket, events, self._on_ready)

    def _receive(self) -> None:
        assert self._socket is not None
        try:
            data = self._socket.recv(const.READ_SIZE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            # A reset is no regular end, not even of a body without a length.
            self._handle_close()
            return
        if not data and self._http.their_state is h11.SEND_RESPONSE:
            self._handle_close()
            return
        if self.is_idle:
            # The server closed the connection or sent unsolicited data.
            self._drop()
            return
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError:
            self._handle_close()

    def _read_events(self) -> None:
        while True:
            event = self._http.next_event()
            match event:
                case h11.Response() if not checks.is_valid_status(
                    event.status_code
                ):
                    self._handle_close()
                    return
                case h11.Response():
                    self._status = event.status_code
                case h11.Data():
                    self._body += event.data
                    if len(self._body) > const.MAX_BODY_BYTES:
                        self._fail()
                        return
                case h11.EndOfMessage():
                    self._complete()
                    return
                case h11.InformationalResponse():
                    self._informational_count += 1
                    if (
                        self._informational_count
                        > const.MAX_INFORMATIONAL_RESPONSES
                    ):
                        self._fail()
                        return
                case h11.ConnectionClosed():
                    self._handle_close()
                    return
                case _:
                    return

    def _complete(self) -> None:
        if (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        ):
            self._http.start_next_cycle()
        else:
            self._drop()
        self._finish(self._status)

    def _handle_close(self) -> None:
        """Make the call again if a kept connection was closed before it."""
        self._drop()
        if self.is_idle:
            return
        if self._is_reused and not self._status:
            self._is_reused = False
            self._connect()
            return
        self._finish(0)

    def _fail(self) -> None:
        self._drop()
        self._finish(0)

    def _finish(self, status: int) -> None:
        callback, self._callback = self._callback, None
        if self._timer is not None:
            self._timer.cancel()
        if callback is not None:
            callback(status, bytes(self._body))

    def _drop(self) -> None:
        if self._socket is None:
            return
        self._reactor.unwatch(self._socket)
        self._socket.close()
        self._socket = None
        self._is_connecting = False
        self._out_buffer.clear()
