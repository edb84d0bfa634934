"""Run an event loop in a thread that owns its sockets, timers and state."""

import collections
import collections.abc
import contextlib
import gc
import heapq
import itertools
import queue
import selectors
import socket
import types
import typing

from bambooring_core import clock as clock_module

Callback = collections.abc.Callable[[], None]
SocketCallback = collections.abc.Callable[[int], None]

_MAX_SELECT_WAIT_S = 1.0


class Timer:
    """A pending callback, due at ``due_s`` on the reactor's clock."""

    __slots__ = ('callback', 'due_s')

    def __init__(self, due_s: float, callback: Callback) -> None:
        self.due_s = due_s
        self.callback: Callback | None = callback

    def cancel(self) -> None:
        """Prevent the callback from running."""
        self.callback = None


class Reactor:
    """A single-threaded event loop for sockets, timers and callbacks.

    Other threads may only call :meth:`post` and :meth:`stop`.
    """

    def __init__(self, clock: clock_module.Clock | None = None) -> None:
        self.clock = clock or clock_module.MonotonicClock()
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()
        self._posted_callbacks: queue.SimpleQueue[Callback] = (
            queue.SimpleQueue()
        )
        self._is_stopping = False
        self._is_wake_pending = False
        self._soon_callbacks: collections.deque[Callback] = collections.deque()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self.watch(self._wake_reader, selectors.EVENT_READ, self._run_posted)

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._selector.close()
        self._wake_reader.close()
        self._wake_writer.close()

    def now(self) -> float:
        """Return the time of the reactor's clock in seconds."""
        return self.clock.now()

    def post(self, callback: Callback) -> None:
        """Run a callback in the reactor's thread; callable from any thread."""
        self._posted_callbacks.put(callback)
        if not self._is_wake_pending:
            self._is_wake_pending = True
            with contextlib.suppress(BlockingIOError, OSError):
                self._wake_writer.send(b'\0')

    def stop(self) -> None:
        """End :meth:`run`; callable from any thread."""
        self.post(self._set_stopping)

    def _set_stopping(self) -> None:
        self._is_stopping = True

    def finish(self) -> None:
        """End :meth:`run` with this turn, before any socket is read again.

        To be called in the reactor's thread only.
        """
        self._set_stopping()

    def _run_posted(self, events: int) -> None:
        with contextlib.suppress(BlockingIOError):
            self._wake_reader.recv(4096)
        self._is_wake_pending = False
        with contextlib.suppress(queue.Empty):
            while True:
                self._posted_callbacks.get_nowait()()

    def watch(
        self,
        fileobj: socket.socket | int,
        events: int,
        callback: SocketCallback,
    ) -> None:
        """Watch a socket, replacing an earlier watch of it.

        :param fileobj: the socket or its file descriptor
        :param events: selectors.EVENT_READ, EVENT_WRITE or both
        :param callback: called with the events that are ready
        """
        try:
            self._selector.modify(fileobj, events, callback)
        except (KeyError, OSError):
            self._selector.register(fileobj, events, callback)

    def unwatch(self, fileobj: socket.socket | int) -> None:
        """Stop watching a socket."""
        with contextlib.suppress(KeyError, ValueError, OSError):
            self._selector.unregister(fileobj)

    def call_later(self, delay_s: float, callback: Callback) -> Timer:
        """Run a callback after a delay.

        :returns: the timer, by which the callback can be cancelled
        """
        timer = Timer(self.now() + delay_s, callback)
        heapq.heappush(
            self._timers, (timer.due_s, next(self._sequence), timer)
        )
        return timer

    def call_every(self, interval_s: float, callback: Callback) -> None:
        """Run a callback repeatedly for as long as the reactor runs.

        :param interval_s: the interval, which also precedes the first run
        """

        def run() -> None:
            self.call_later(interval_s, run)
            callback()

        self.call_later(interval_s, run)

    def call_soon(self, callback: Callback) -> None:
        """Run a callback at the end of this iteration of the loop."""
        self._soon_callbacks.append(callback)

    def run(self) -> None:
        """Run until stopped.

        The objects that exist at the start live as long as the process. They
        are excluded from garbage collection, which would otherwise block the
        loop while it scans them.
        """
        gc.collect()
        gc.freeze()
        while not self._is_stopping:
            self.run_once()

    def run_once(self) -> None:
        """Wait for the next events and handle them."""
        ready = self._selector.select(self._compute_wait_s())
        for key, events in ready:
            key.data(events)
        self._run_timers()
        while self._soon_callbacks:
            self._soon_callbacks.popleft()()

    def _compute_wait_s(self) -> float:
        if self._soon_callbacks:
            return 0.0
        if not self._timers:
            return _MAX_SELECT_WAIT_S
        return min(
            _MAX_SELECT_WAIT_S, max(0.0, self._timers[0][0] - self.now())
        )

    def _run_timers(self) -> None:
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            if timer.callback is not None:
                timer.callback()
