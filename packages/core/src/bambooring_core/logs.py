"""Write logs as JSON lines, rate-limited and without blocking.

The reactor's thread only queues lines; a separate thread writes them. While
the reader of standard output stalls, excess lines are dropped and counted.
"""

import collections
import collections.abc
import contextlib
import json
import logging
import os
import queue
import sys
import threading
import time
import types
import typing

import structlog

# Limits of the queues while the reader stalls; further lines are dropped.
_MAX_QUEUED_LINES = 20000
_MAX_QUEUED_BATCHES = 4
FLUSH_INTERVAL_S: typing.Final = 0.1
_JOIN_TIMEOUT_S = 0.5

# The token bucket of each event: its refill rate and its capacity.
_EVENT_LINES_PER_S = 200.0
_EVENT_BURST_LINES = 400.0


class LineWriter:
    """Write lines to a file descriptor in a background thread."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: list[str] = []
        self._batches: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, daemon=True)
        # Called when the first line of a batch is queued, and when a flush
        # has to be retried; must arrange a call of :meth:`flush` soon.
        self.schedule_flush: collections.abc.Callable[[], None] | None = None
        self.dropped_lines = 0

    def __enter__(self) -> typing.Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self.flush()
        self._batches.put(None)
        self._thread.join(_JOIN_TIMEOUT_S)

    def write(self, line: str) -> None:
        """Queue a line, or drop it if the queue is full."""
        if len(self._lines) >= _MAX_QUEUED_LINES:
            self.dropped_lines += 1
            return
        self._lines.append(line)
        if len(self._lines) == 1 and self.schedule_flush is not None:
            self.schedule_flush()

    def flush(self) -> None:
        """Hand the queued lines to the background thread."""
        if not self._lines:
            return
        if self._batches.qsize() >= _MAX_QUEUED_BATCHES:
            if self.schedule_flush is not None:
                self.schedule_flush()
            return
        lines, self._lines = self._lines, []
        self._batches.put(('\n'.join(lines) + '\n').encode())

    def _run(self) -> None:
        while (batch := self._batches.get()) is not None:
            view = memoryview(batch)
            with contextlib.suppress(OSError):
                # A write fails once the reader has closed its end. The lines
                # are lost, but the process continues.
                while view:
                    view = view[os.write(self._descriptor, view) :]


class RateLimiter:
    """Limit the lines of each event by a token bucket."""

    __slots__ = ('_refilled_s', '_dropped_counts', '_tokens', '_writer')

    def __init__(self, writer: LineWriter) -> None:
        self._writer = writer
        self._tokens: dict[str, float] = {}
        self._dropped_counts: collections.Counter[str] = collections.Counter()
        self._refilled_s = time.monotonic()

    def __call__(
        self, logger: object, name: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """Drop a line if its event has no token left.

        :raises structlog.DropEvent: if the line is dropped
        """
        self._refill()
        event_name = event['event']
        tokens = self._tokens.get(event_name, _EVENT_BURST_LINES)
        if tokens < 1:
            self._dropped_counts[event_name] += 1
            raise structlog.DropEvent
        self._tokens[event_name] = tokens - 1
        return event

    def _refill(self) -> None:
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * _EVENT_LINES_PER_S
        if refill < 1:
            return
        self._refilled_s = now_s
        for event_name, tokens in list(self._tokens.items()):
            if tokens + refill >= _EVENT_BURST_LINES:
                del self._tokens[event_name]
            else:
                self._tokens[event_name] = tokens + refill
        self._report_dropped()

    def _report_dropped(self) -> None:
        dropped_counts, self._dropped_counts = (
            self._dropped_counts,
            collections.Counter(),
        )
        for event_name, count in dropped_counts.items():
            line = {
                'event': 'lines left out',
                'of': event_name,
                'count': count,
            }
            self._writer.write(json.dumps(line))


def configure(
    instance: str,
    failure_domain: str,
    level: str = 'info',
    writer: LineWriter | None = None,
) -> None:
    """Configure logging as JSON lines on standard output.

    :param instance: the instance's name, added to each line
    :param failure_domain: its failure domain, added to each line
    :param level: the lowest level that is written
    :param writer: writes the lines in the background, limited in rate; None
        to write all lines synchronously
    """
    rate_limiters = [RateLimiter(writer)] if writer is not None else []
    structlog.configure(
        processors=[
            *rate_limiters,
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            _make_identity_binder(instance, failure_domain),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=_make_logger_factory(writer),
        cache_logger_on_first_use=True,
    )


class _LineLogger:
    """Pass each rendered line to a writer."""

    __slots__ = ('_writer',)

    def __init__(self, writer: LineWriter) -> None:
        self._writer = writer

    def msg(self, line: str) -> None:
        """Queue a line of any level."""
        self._writer.write(line)

    debug = info = warning = error = critical = msg


def _make_logger_factory(writer: LineWriter | None) -> typing.Any:
    if writer is None:
        return structlog.PrintLoggerFactory(sys.stdout)
    logger = _LineLogger(writer)
    return lambda *args: logger


def _make_identity_binder(
    instance: str, failure_domain: str
) -> structlog.typing.Processor:
    def add_identity(
        logger: object, name: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        event['instance'] = instance
        event['failure_domain'] = failure_domain
        return event

    return add_identity
