"""Write streams to callers from the instance's own thread.

A thread a stream would wake for every token and fight for the interpreter.
A worker thread sends the head, lends its socket here until the body has
ended, and goes on with the connection after that.
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
from bambooring_core import reactor as reactor_module

Ends = queue.SimpleQueue[dispatch.Event]
Cancel = collections.abc.Callable[[], None]


class BodyWriter:
    """Own a caller's socket while a body is written to it."""

    __slots__ = (
        '_cancel',
        '_end',
        '_ends',
        '_is_events',
        '_out',
        '_reactor',
        '_request_id',
        '_socket',
        '_watched',
    )

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        sock: socket.socket,
        request_id: str,
        is_events: bool,
        ends: Ends,
        cancel: Cancel,
    ) -> None:
        self._reactor = reactor
        self._socket = sock
        self._request_id = request_id
        self._is_events = is_events
        self._ends = ends
        self._cancel = cancel
        self._out = bytearray()
        self._end: dispatch.Event | None = None
        self._watched = selectors.EVENT_READ
        reactor.watch(sock, self._watched, self._on_ready)

    def put(self, event: dispatch.Event) -> None:
        """Take an event of the call; callable from the reactor only.

        :param event: a part of the body or its end
        """
        if isinstance(event, dispatch.Data):
            self._write(event.data)
        elif isinstance(event, dispatch.Finished):
            self._finish(event)
        elif isinstance(event, dispatch.Failure):
            if self._is_events:
                self._write(
                    responses.make_error_event(event, self._request_id)
                )
            self._finish(event)

    def _write(self, data: bytes) -> None:
        """Write one chunk of the chunked coding."""
        if self._end is not None:
            return
        chunk = b'%x\r\n%b\r\n' % (len(data), data)
        if not self._out:
            chunk = chunk[self._send(chunk) :]
        if not chunk or self._end is not None:
            return
        self._out += chunk
        if len(self._out) > const.SEND_BUFFER_LIMIT_BYTES:
            self._break(const.REASON_CALLER_TOO_SLOW)
        else:
            self._watch(selectors.EVENT_READ | selectors.EVENT_WRITE)

    def _send(self, data: bytes | bytearray) -> int:
        """Write what the socket takes now and return its size."""
        try:
            return os.write(self._socket.fileno(), data)
        except BlockingIOError:
            return 0
        except OSError:
            self._break(const.REASON_CALLER_GONE)
            return 0

    def _watch(self, events: int) -> None:
        if events == self._watched:
            return
        self._watched = events
        if events:
            self._reactor.watch(self._socket, events, self._on_ready)
        else:
            self._reactor.unwatch(self._socket)

    def _on_ready(self, events: int) -> None:
        if events & selectors.EVENT_WRITE:
            del self._out[: self._send(self._out)]
            if not self._out:
                self._watch(self._watched & ~selectors.EVENT_WRITE)
                self._hand_back()
        if events & selectors.EVENT_READ and self._watched:
            self._check_gone()

    def _check_gone(self) -> None:
        if http.is_closed(self._socket):
            self._break(const.REASON_CALLER_GONE)
        else:
            # The caller has sent its next request already.
            self._watch(self._watched & ~selectors.EVENT_READ)

    def _break(self, reason: str) -> None:
        """End a call whose caller does not take its answer."""
        if self._end is not None and not self._out:
            return
        self._out.clear()
        if self._end is None:
            self._cancel()
        self._end = dispatch.Failure(
            status=499, reason=reason, outcome=wire.Outcome.FAILED
        )
        self._hand_back()

    def _finish(self, event: dispatch.Event) -> None:
        if self._end is None:
            self._end = event
            self._hand_back()

    def _hand_back(self) -> None:
        """Give the socket back once all is written."""
        if self._end is None or self._out:
            return
        self._watch(0)
        self._ends.put(self._end)


def lend(stream: BodyWriter, events: queue.SimpleQueue) -> None:
    """Write what came before the stream took over.

    :param stream: the stream
    :param events: the call's events so far
    """
    with contextlib.suppress(queue.Empty):
        while True:
            stream.put(events.get_nowait())
