"""Read the requests of one caller's connection and write the responses."""

import contextlib
import selectors
import socket
import struct
import typing

import h11

from bambooring_core.http1 import checks
from bambooring_core.http1 import const
from bambooring_core.http1 import errors
from bambooring_core.http1 import exchange as exchange_module
from bambooring_core.http1 import memory
from bambooring_core.http1 import messages
from bambooring_core.http1 import relief

if typing.TYPE_CHECKING:
    from bambooring_core.http1 import server as server_module

# SO_LINGER enabled with a timeout of zero: close() resets the connection, so
# that the caller can't take a truncated response for a complete one.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Connection:
    """A caller's connection, which handles one request at a time.

    ``reading_since_s`` is the reactor's time when the first bytes of an
    incomplete request were received, or None.
    """

    def __init__(
        self, server: 'server_module.Server', sock: socket.socket
    ) -> None:
        self._server = server
        self._socket = sock
        self._reactor = server.reactor
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=server.limits.max_header_bytes,
        )
        self._out_buffer = bytearray()
        self._events = selectors.EVENT_READ
        self._head: h11.Request | None = None
        self._head_received_s = 0.0
        self._body = bytearray()
        # What is held for this connection: the body of its request, and all
        # else. The reservation of the body is made before it is read.
        self._body_held = memory.Reservation(server.budget)
        self._other_held = memory.Reservation(server.budget)
        self._answer_bytes = 0
        self._unparsed_bytes = 0
        self._has_declared_length = False
        # How long, and how many bytes, a refused caller may go on sending.
        self._linger_until_s = 0.0
        self._linger_bytes = 0
        self._exchange: exchange_module.Exchange | None = None
        self._is_closing = False
        self._is_lingering = False
        self.is_open = True
        self.last_active_s = server.reactor.now()
        self.reading_since_s: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or handled."""
        return self._exchange is None and self.reading_since_s is None

    @property
    def has_active_request(self) -> bool:
        """Whether a request is being handled."""
        return self._exchange is not None

    @property
    def has_unsent_output(self) -> bool:
        """Whether a part of a response is not sent yet."""
        return bool(self._out_buffer)

    @property
    def is_congested(self) -> bool:
        """Whether too much output is waiting for the caller to read it."""
        return len(self._out_buffer) > const.OUT_BUFFER_HIGH_WATER_BYTES

    def open(self) -> None:
        """Start watching the socket."""
        self._reactor.watch(self._socket, self._events, self._on_ready)

    def _on_ready(self, events: int) -> None:
        if events & selectors.EVENT_WRITE and self.is_open:
            self._flush()
        if events & selectors.EVENT_READ and self.is_open:
            self._receive()

    def _receive(self) -> None:
        try:
            data = self._socket.recv(const.READ_SIZE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        self.last_active_s = self._reactor.now()
        if self._is_lingering:
            self._discard(data)
            return
        if not data and (self._exchange is not None or self.is_idle):
            self.close()
            return
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._refuse(checks.make_refusal(error))
        except errors.RequestError as error:
            self._refuse(error)
        self._account_input()
        self._update_watch()

    def _discard(self, data: bytes) -> None:
        """Drop the input of a caller that is to read its response."""
        self._linger_bytes -= len(data)
        if not data or (self._linger_until_s and self._linger_bytes < 0):
            self.close()

    def _read_events(self) -> None:
        while (
            self.is_open and not self._is_lingering and self._exchange is None
        ):
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._handle_need_data()
                return
            if event is h11.PAUSED:
                return
            self._handle_event(event)

    def _handle_need_data(self) -> None:
        """Start the request timeout; send a 100 response if expected."""
        has_partial_head = bool(self._http.trailing_data[0])
        if (
            self._head is None
            and self.reading_since_s is None
            and has_partial_head
        ):
            self.reading_since_s = self._reactor.now()
        if self._http.they_are_waiting_for_100_continue:
            interim_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            self._send(interim_response)
            self._flush()

    def _handle_event(self, event: typing.Any) -> None:
        match event:
            case h11.Request():
                checks.check_method(event)
                checks.check_framing(event)
                self._head = event
                self._head_received_s = self._reactor.now()
                self.reading_since_s = (
                    self.reading_since_s or self._head_received_s
                )
                self._admit_body(event)
            case h11.Data():
                self._add_to_body(event.data)
            case h11.EndOfMessage():
                self._begin_exchange()
            case h11.ConnectionClosed():
                self.close()

    def _admit_body(self, head: h11.Request) -> None:
        """Reserve memory for a body by its length, or refuse it unread."""
        length = checks.get_length(head)
        self._has_declared_length = length is not None
        if not length or not self._server.budget.is_limited:
            return
        if length > self._server.limits.max_body_bytes:
            raise errors.RequestError(413, 'body_too_large')
        self._reserve_body(length)

    def _reserve_body(self, size: int) -> None:
        """Reserve memory for a body, which a small one always gets.

        :param size: the bytes in all
        :raises RequestError: if there is no room for a large body
        """
        if size <= const.SMALL_BODY_BYTES:
            self._body_held.resize(size)
            self._server.schedule_relief()
            return
        if not self._body_held.try_resize(size):
            self._server.close_stalled(size - self._body_held.size, self)
            if not self._body_held.try_resize(size):
                raise self._server.make_refusal('memory')

    def _add_to_body(self, data: bytes) -> None:
        size = len(self._body) + len(data)
        if size > self._server.limits.max_body_bytes:
            raise errors.RequestError(413, 'body_too_large')
        if not self._has_declared_length:
            self._reserve_body(size)
        self._body += data

    def _take_body(self) -> bytes | bytearray:
        """Return the complete body; a large one isn't copied."""
        body, self._body = self._body, bytearray()
        if len(body) > const.SMALL_BODY_BYTES:
            return body
        return bytes(body)

    def _drop_input(self) -> None:
        """Free all input of a request that won't be handled."""
        self._body = bytearray()
        self._unparsed_bytes = 0
        self._body_held.close()
        self._http = h11.Connection(h11.SERVER)

    @property
    def _held_bytes(self) -> int:
        return self._body_held.size + self._other_held.size

    def _account(self) -> None:
        """Account for what is held besides the body of the request.

        That is output, and input that isn't parsed: behind a running request,
        or a part of a head.
        """
        if not self.is_open or not self._server.budget.is_limited:
            return
        size = len(self._out_buffer) + self._answer_bytes
        size += self._unparsed_bytes
        if size != self._other_held.size:
            self._other_held.resize(size)
            self._server.schedule_relief()

    def _account_input(self) -> None:
        """Account for input once it has been read or parsed."""
        if not self._server.budget.is_limited:
            return
        self._unparsed_bytes = 0
        if not self._body:
            self._unparsed_bytes = len(self._http.trailing_data[0])
        self._account()

    def hold_answer(self, size: int) -> None:
        """Account for the bytes of an answer that are buffered elsewhere."""
        self._answer_bytes = size
        self._account()

    def describe(self, now_s: float) -> relief.Holder['Connection']:
        """Return what the choice of connections to close depends on."""
        return relief.Holder(
            connection=self,
            held_bytes=self._held_bytes,
            stalled_s=now_s - self.last_active_s,
            has_request=self.has_active_request,
            has_output=self.has_unsent_output,
        )

    def give_up(self, reason: str) -> None:
        """Close the connection because the process is near a limit.

        A request that isn't complete is refused: it has not run. A response
        that has started is reset.

        :param reason: why, as a label for logs and metrics
        """
        self._server.record_closed(self, reason)
        if self.reading_since_s is not None and not self._is_lingering:
            self._refuse(self._server.make_refusal(reason))
        elif self.has_active_request or self.has_unsent_output:
            self.abort()
        else:
            self.close()

    def _begin_exchange(self) -> None:
        head = self._head
        assert head is not None
        self._head = None
        self.reading_since_s = None
        request = messages.Request(
            method=head.method.decode('ascii'),
            target=head.target.decode('ascii'),
            headers=list(head.headers.raw_items()),
            body=self._take_body(),
            received_s=self._head_received_s,
        )
        self._exchange = exchange_module.Exchange(self, request)
        self._server.count_active(1)
        self._server.handle(self._exchange)

    def _refuse(self, error: errors.RequestError) -> None:
        """Count and reject an invalid request, then close the connection.

        The connection is aborted if a request is being handled, and closed
        without a response if no response can be sent any more.
        """
        self._server.count_refused(error.reason)
        self.reading_since_s = None
        if self._exchange is not None:
            self.abort()
            return
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.close()
            return
        self._is_closing = True
        headers = [(b'Content-Length', b'0'), (b'Connection', b'close')]
        if error.retry_after_s is not None:
            retry_after = f'{error.retry_after_s:.3f}'.encode()
            headers.append((b'Retry-After', retry_after))
            now_s = self._reactor.now()
            self._linger_until_s = now_s + const.REFUSAL_LINGER_S
            self._linger_bytes = 2 * self._server.limits.max_body_bytes
        self.send_head(error.status, headers)
        self._send(h11.EndOfMessage())
        self._drop_input()
        self._flush()
        self._linger_and_close()

    def refuse_slow_request(self) -> None:
        """Reject a request that takes too long to arrive."""
        self._refuse(errors.RequestError(408, 'head_timeout'))

    def _linger_and_close(self) -> None:
        """Close the connection once the peer had time to read the response.

        That time begins when the whole response is sent.
        """
        if not self.is_open:
            return
        self._is_lingering = True
        if not self._out_buffer:
            self._end_output()

    def _end_output(self) -> None:
        """Tell the peer that nothing follows, and close a while later."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_WR)
        self._reactor.call_later(const.LINGER_S, self._finish_lingering)

    def _finish_lingering(self) -> None:
        """Close the connection unless a refused caller is still sending."""
        now_s = self._reactor.now()
        is_sending = now_s - self.last_active_s < const.LINGER_S
        if self.is_open and is_sending and now_s < self._linger_until_s:
            self._reactor.call_later(const.LINGER_S, self._finish_lingering)
            return
        self.close()

    def send_head(self, status: int, headers: messages.Headers) -> None:
        """Send a response's head.

        A closing server adds the header 'Connection: close'.
        """
        if self._server.is_closing and not self._is_closing:
            self._is_closing = True
            headers = [*headers, (b'Connection', b'close')]
        self._send(h11.Response(status_code=status, headers=headers))

    def send_data(self, data: bytes) -> None:
        """Send a part of a response's body."""
        self._send(h11.Data(data=data))
        self._flush()

    def end_response(self) -> None:
        """Complete a response, then close or read the next request."""
        self._send(h11.EndOfMessage())
        self._release_exchange()
        self.last_active_s = self._reactor.now()
        self._flush()
        if not self.is_open:
            return
        if self._is_closing or self._http.our_state is h11.MUST_CLOSE:
            self._linger_and_close()
            return
        self._http.start_next_cycle()
        self._reactor.call_soon(self._read_next)

    def _release_exchange(self) -> exchange_module.Exchange | None:
        """Forget the exchange, and free the body of its request.

        Handlers and exchanges refer to each other, so a large body would
        otherwise remain until they are collected as garbage.
        """
        exchange, self._exchange = self._exchange, None
        self._body_held.close()
        self._answer_bytes = 0
        if exchange is not None:
            self._server.count_active(-1)
            if len(exchange.request.body) > const.SMALL_BODY_BYTES:
                exchange.request.body = b''
        return exchange

    def _read_next(self) -> None:
        if not self.is_open or self._is_lingering:
            return
        try:
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._refuse(checks.make_refusal(error))
        except errors.RequestError as error:
            self._refuse(error)
        self._account_input()

    def _send(self, event: typing.Any) -> None:
        if self.is_open:
            self._out_buffer += self._http.send(event) or b''

    def _flush(self) -> None:
        was_congested = self.is_congested
        had_output = self.has_unsent_output
        if had_output:
            try:
                sent = self._socket.send(self._out_buffer)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.close()
                return
            del self._out_buffer[:sent]
            if sent:
                self.last_active_s = self._reactor.now()
        self._account()
        self._update_watch()
        exchange = self._exchange
        if was_congested and not self.is_congested and exchange is not None:
            if exchange.on_drained is not None:
                exchange.on_drained()
        if self._is_lingering and had_output and not self._out_buffer:
            self._end_output()

    @property
    def _has_excess_input(self) -> bool:
        """Whether the caller has sent too much behind a running request."""
        if self._exchange is None:
            return False
        unread_bytes = len(self._http.trailing_data[0])
        return unread_bytes > const.IN_BUFFER_HIGH_WATER_BYTES

    def _update_watch(self) -> None:
        """Watch for input unless there is too much, and for room to write.

        A connection that isn't read isn't seen to close either.
        """
        if not self.is_open:
            return
        events = 0 if self._has_excess_input else selectors.EVENT_READ
        if self._out_buffer:
            events |= selectors.EVENT_WRITE
        if events == self._events:
            return
        self._events = events
        if events:
            self._reactor.watch(self._socket, events, self._on_ready)
        else:
            self._reactor.unwatch(self._socket)

    def abort(self) -> None:
        """Reset the connection."""
        if not self.is_open:
            return
        with contextlib.suppress(OSError):
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self.close()

    def close(self) -> None:
        """Close the connection and notify its unfinished exchange."""
        if not self.is_open:
            return
        self.is_open = False
        self._reactor.unwatch(self._socket)
        self._socket.close()
        self._server.remove_connection(self)
        self._out_buffer = bytearray()
        self._drop_input()
        self._other_held.close()
        exchange = self._release_exchange()
        if exchange is not None and not exchange.is_done:
            exchange.is_done = True
            if exchange.on_disconnect is not None:
                exchange.on_disconnect()
