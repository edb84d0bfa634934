"""Account for the request bodies that a server's threads hold.

All threads of a process share one budget. A large body reserves its memory
before it is read, and keeps it until its response has ended. If there is no
room, bodies that have stopped arriving give way to it.
"""

import socket
import threading
import time
import types
import typing

import structlog

from bambooring_core import errors
from bambooring_core.http1 import const
from bambooring_core.http1 import memory
from bambooring_core.http1 import relief
from bambooring_core import metrics

LOG = structlog.get_logger(__name__)

# A body that is handled exists twice, as received and in the output of the
# link to its target, and for short times more often: while it is parsed, and
# while the message with it is built.
_COPIES: typing.Final = 2


class Uploads:
    """The request bodies of a process; usable by many threads."""

    def __init__(self, budget: memory.MemoryBudget) -> None:
        self._budget = budget
        self._lock = threading.Lock()
        self._uploads: set[Upload] = set()
        self._output = memory.Reservation(budget)
        metrics.HELD_BYTES_LIMIT.set(budget.total_bytes)

    def open(self, sock: socket.socket) -> 'Upload':
        """Return the account of a connection's next request."""
        return Upload(self, memory.Reservation(self._budget), sock)

    def begin_read(self, upload: 'Upload', size: int) -> None:
        """Reserve what a part of a body needs before it is read.

        :param upload: the account of its request
        :param size: the most bytes that are read
        :raises MemoryShortError: if there is no room
        """
        with self._lock:
            upload.body_bytes += size
            self._reserve(upload)
            upload.begin_read()
            self._uploads.add(upload)
            metrics.HELD_BYTES.set(self._budget.used_bytes)

    def end_read(self, upload: 'Upload') -> None:
        """End the read of a part of a body.

        :param upload: the account of its request
        :raises MemoryShortError: if it has given way to another one
        """
        with self._lock:
            upload.is_reading = False
            if upload.is_evicted:
                upload.is_refused = True
                raise errors.MemoryShortError('body gave way to another one')

    def close(self, upload: 'Upload') -> None:
        """Release what a request has reserved."""
        with self._lock:
            self._uploads.discard(upload)
            upload.reservation.close()
            metrics.HELD_BYTES.set(self._budget.used_bytes)

    def hold_output(self, size: int) -> int:
        """Account for all output that callers leave unread.

        :param size: the bytes of it
        :returns: what the process holds beyond its budget, 0 if nothing
        """
        with self._lock:
            self._output.resize(size)
            metrics.HELD_BYTES.set(self._budget.used_bytes)
            return max(0, self._budget.used_bytes - self._budget.total_bytes)

    def _reserve(self, upload: 'Upload') -> None:
        reservation = upload.reservation
        needed_bytes = upload.body_bytes * _COPIES
        is_alone = self._budget.used_bytes == reservation.size
        if upload.body_bytes <= const.SMALL_BODY_BYTES or is_alone:
            # A single request within the limits is served whatever the budget.
            reservation.resize(needed_bytes)
            return
        if reservation.try_resize(needed_bytes):
            return
        self._evict_stalled(upload, needed_bytes - reservation.size)
        if reservation.try_resize(needed_bytes):
            return
        upload.is_refused = True
        LOG.info(
            'large body refused',
            body_bytes=upload.body_bytes,
            used_bytes=self._budget.used_bytes,
            limit_bytes=self._budget.total_bytes,
        )
        raise errors.MemoryShortError('no memory for a large body')

    def _evict_stalled(self, excluded: 'Upload', needed_bytes: int) -> None:
        now_s = time.monotonic()
        holders = [
            upload.describe(now_s)
            for upload in self._uploads
            if upload is not excluded and not upload.is_evicted
        ]
        for holder in relief.choose_stalled(holders, needed_bytes):
            holder.connection.evict()
            metrics.CALLER_CONNECTIONS_CLOSED.labels(
                reason='memory_stalled'
            ).inc()
            LOG.info(
                'caller connection closed',
                reason='memory_stalled',
                held_bytes=holder.held_bytes,
                stalled_ms=round(holder.stalled_s * 1000),
                used_bytes=self._budget.used_bytes,
                limit_bytes=self._budget.total_bytes,
            )


class Upload:
    """What one request holds of the budget, until its response has ended.

    ``moved_s`` is when bytes of it last arrived. ``is_reading`` is true while
    its thread waits for more of its body; only then may it be evicted.
    ``is_refused`` is true if its body is not read for lack of memory.
    """

    __slots__ = (
        '_socket',
        '_uploads',
        'body_bytes',
        'is_evicted',
        'is_reading',
        'is_refused',
        'moved_s',
        'reservation',
    )

    def __init__(
        self,
        uploads: Uploads,
        reservation: memory.Reservation,
        sock: socket.socket,
    ) -> None:
        self._uploads = uploads
        self._socket = sock
        self.reservation = reservation
        self.body_bytes = 0
        self.is_reading = False
        self.is_evicted = False
        self.is_refused = False
        self.moved_s = 0.0

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._uploads.close(self)

    def begin_read(self) -> None:
        """Note that a part of the body is read from now on."""
        self.moved_s = time.monotonic()
        self.is_reading = True

    def describe(self, now_s: float) -> relief.Holder['Upload']:
        """Return what the choice of a body to evict needs to know."""
        return relief.Holder(
            connection=self,
            held_bytes=self.reservation.size,
            stalled_s=now_s - self.moved_s,
            has_request=not self.is_reading,
            has_output=False,
        )

    def evict(self) -> None:
        """Release the memory, and wake the thread that waits for the rest."""
        self.is_evicted = True
        self.reservation.close()
        try:
            self._socket.shutdown(socket.SHUT_RD)
        except OSError:
            LOG.debug('caller disconnected before its body was refused')
