"""Write response bodies to callers in the thread of the instance's reactor.

With a thread for each stream, every token would wake a thread, and all of
them would contend for the interpreter lock. So the worker thread of a request
sends the response head, hands its socket over until the body has ended, and
then goes on with the connection.
"""

import collections.abc
import contextlib
import os
import queue
import selectors
import socket

from bambooring.callers import const
from bambooring.callers import responses
from bambooring.dispatch import messages as dispatch
from bambooring_core.dispatch import messages as wire
from bambooring_core import http
from bambooring_core.http1 import relief
from bambooring_core import reactor as reactor_module

EndQueue = queue.SimpleQueue[dispatch.Event]
CancelCall = collections.abc.Callable[[], None]


class BodyWriter:
    """Writer of one response body to a caller's socket, in chunked coding.

    What the socket does not take at once is kept in a buffer. The socket is
    used until ``end_queue`` gets the last event; if that is a failure, the
    worker thread closes the connection.
    """

    __slots__ = (
        '_cancel',
        '_end_event',
        '_end_queue',
        '_is_event_stream',
        '_moved_s',
        '_send_buffer',
        '_reactor',
        '_request_id',
        '_socket',
        '_watched_events',
    )

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        sock: socket.socket,
        request_id: str,
        is_event_stream: bool,
        end_queue: EndQueue,
        cancel: CancelCall,
    ) -> None:
        self._reactor = reactor
        self._socket = sock
        self._request_id = request_id
        self._is_event_stream = is_event_stream
        self._end_queue = end_queue
        self._cancel = cancel
        self._send_buffer = bytearray()
        self._end_event: dispatch.Event | None = None
        self._moved_s = reactor.now()
        self._watched_events = selectors.EVENT_READ
        reactor.watch(sock, self._watched_events, self._on_ready)

    def put(self, event: dispatch.Event) -> None:
        """Write an event of the call; callable in the reactor's thread only.

        :param event: a part of the body, its end or a failure
        """
        if isinstance(event, dispatch.Data):
            self._write_chunk(event.data)
        elif isinstance(event, dispatch.Finished):
            self._finish(event)
        elif isinstance(event, dispatch.Failure):
            if self._is_event_stream:
                self._write_chunk(
                    responses.make_error_event(event, self._request_id)
                )
            self._finish(event)

    def describe(self) -> relief.Holder['BodyWriter']:
        """Return what the choice of a response to break off needs to know."""
        return relief.Holder(
            connection=self,
            held_bytes=len(self._send_buffer),
            stalled_s=self._reactor.now() - self._moved_s,
            has_request=True,
            has_output=bool(self._send_buffer),
        )

    def break_off(self) -> None:
        """End a response whose caller leaves it unread."""
        self._abort(const.REASON_CALLER_TOO_SLOW)

    def _write_chunk(self, data: bytes) -> None:
        """Write data as one chunk of the chunked coding."""
        if self._end_event is not None:
            return
        chunk = b'%x\r\n%b\r\n' % (len(data), data)
        if not self._send_buffer:
            chunk = chunk[self._send(chunk) :]
        if not chunk or self._end_event is not None:
            return
        self._send_buffer += chunk
        if len(self._send_buffer) > const.SEND_BUFFER_LIMIT_BYTES:
            self._abort(const.REASON_CALLER_TOO_SLOW)
        else:
            self._set_watched_events(
                selectors.EVENT_READ | selectors.EVENT_WRITE
            )

    def _send(self, data: bytes | bytearray) -> int:
        """Write what the socket takes now and return the number of bytes."""
        try:
            sent_bytes = os.write(self._socket.fileno(), data)
            self._moved_s = self._reactor.now()
            return sent_bytes
        except BlockingIOError:
            return 0
        except OSError:
            self._abort(const.REASON_CALLER_GONE)
            return 0

    def _set_watched_events(self, events: int) -> None:
        if events == self._watched_events:
            return
        self._watched_events = events
        if events:
            self._reactor.watch(self._socket, events, self._on_ready)
        else:
            self._reactor.unwatch(self._socket)

    def _on_ready(self, events: int) -> None:
        if events & selectors.EVENT_WRITE:
            del self._send_buffer[: self._send(self._send_buffer)]
            if not self._send_buffer:
                self._set_watched_events(
                    self._watched_events & ~selectors.EVENT_WRITE
                )
                self._return_socket()
        if events & selectors.EVENT_READ and self._watched_events:
            self._check_disconnect()

    def _check_disconnect(self) -> None:
        if http.is_closed(self._socket):
            self._abort(const.REASON_CALLER_GONE)
        else:
            # The caller has sent its next request: stop watching for input,
            # since the socket stays readable until that request is read.
            self._set_watched_events(
                self._watched_events & ~selectors.EVENT_READ
            )

    def _abort(self, reason: str) -> None:
        """Cancel a call whose caller has left or is too slow."""
        if self._end_event is not None and not self._send_buffer:
            return
        self._send_buffer.clear()
        if self._end_event is None:
            self._cancel()
        self._end_event = dispatch.Failure(
            status=499, reason=reason, outcome=wire.Outcome.FAILED
        )
        self._return_socket()

    def _finish(self, event: dispatch.Event) -> None:
        if self._end_event is None:
            self._end_event = event
            self._return_socket()

    def _return_socket(self) -> None:
        """Return the socket to the worker thread once all is written."""
        if self._end_event is None or self._send_buffer:
            return
        self._set_watched_events(0)
        self._end_queue.put(self._end_event)


def write_queued_events(
    body_writer: BodyWriter, events: queue.SimpleQueue
) -> None:
    """Write the events that came before the writer took over.

    :param body_writer: the writer of the call's response
    :param events: the queue of the call's events so far
    """
    with contextlib.suppress(queue.Empty):
        while True:
            body_writer.put(events.get_nowait())
