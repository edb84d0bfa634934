"""Split event streams into events, and continue them at another target."""

import collections.abc
import dataclasses
import re

from bambooring.forwarding import const
from bambooring.forwarding import errors

_STANDARD_FIELDS = (b'', b'data', b'event', b'retry')


class EventFormat:
    """The fields that the events of a platform's streams have.

    A block with any other line is no event: it may be the head of a second
    answer.
    """

    __slots__ = ('_pattern',)

    def __init__(self, more_fields: collections.abc.Iterable[bytes]) -> None:
        """Create a format.

        :param more_fields: the names of fields besides those of the standard
        """
        names = b'|'.join(map(re.escape, (*_STANDARD_FIELDS, *more_fields)))
        other_fields = rb'(?:(?:%b)(?::[^\r\n]*)?\r?\n)*' % names
        id_field = rb'id:[ ]*([0-9]{1,18})[ ]*\r?\n'
        self._pattern = re.compile(other_fields + id_field + other_fields)

    def read_id(self, event: bytes) -> int | None:
        """Return the id of an event.

        :returns: None if the block is no event with one id
        """
        match = self._pattern.fullmatch(event)
        return int(match[1]) if match else None


@dataclasses.dataclass(slots=True, kw_only=True)
class EventCounts:
    """What one response has sent of a stream, for the log.

    ``unnumbered`` counts events without an id, ``disordered`` those whose id
    is not higher than that of the event before. ``partial_bytes`` is the size
    of the incomplete event at the end.
    """

    complete: int = 0
    unnumbered: int = 0
    disordered: int = 0
    first_id: int | None = None
    last_id: int | None = None
    partial_bytes: int = 0

    def add(self, event_id: int | None) -> None:
        """Count a complete event."""
        self.complete += 1
        if event_id is None:
            self.unnumbered += 1
            return
        if self.first_id is None:
            self.first_id = event_id
        elif self.last_id is not None and event_id <= self.last_id:
            self.disordered += 1
        self.last_id = event_id

    def format(self) -> str:
        """Return the text of the counts in a log line, '' for no stream."""
        if not self.complete and not self.partial_bytes:
            return ''
        return (
            f' events={self.complete} ids={self.first_id}..{self.last_id}'
            f' unnumbered={self.unnumbered} disordered={self.disordered}'
            f' partial={self.partial_bytes}B'
        )


class DeliveredEvents:
    """The events of a stream that a caller has, from whichever responses.

    ``last_id`` is the id of the last one, None if the caller has none.
    """

    __slots__ = ('last_id',)

    def __init__(self, last_id: int | None) -> None:
        self.last_id = last_id


class EventReader:
    """Extract the new events of one response, each once and in order.

    A stream may come from several responses, each of which continues the one
    before, and each has a reader of its own. Only complete events are passed
    on, so a response that breaks off in the middle of an event leaves nothing
    at the caller that the next response would have to complete.
    """

    __slots__ = (
        '_buffer',
        '_comments',
        '_counts',
        '_delivered',
        '_event_format',
        '_is_continuation',
    )

    def __init__(
        self, delivered: DeliveredEvents, event_format: EventFormat
    ) -> None:
        """Create a reader.

        :param delivered: the events that the caller has, which is updated
        :param event_format: how the events look
        """
        self._event_format = event_format
        self._buffer = bytearray()
        # Comments before the next event, with which they are passed on.
        self._comments = bytearray()
        self._counts = EventCounts()
        self._delivered = delivered
        self._is_continuation = delivered.last_id is not None

    @property
    def partial_bytes(self) -> int:
        """Return the size of the event that isn't complete yet."""
        return len(self._buffer)

    @property
    def has_partial_event(self) -> bool:
        """Return whether the start of an incomplete event is buffered."""
        return bool(self._buffer)

    @property
    def counts(self) -> EventCounts:
        """Return what the response has sent so far."""
        return dataclasses.replace(
            self._counts, partial_bytes=len(self._buffer)
        )

    def close(self) -> None:
        """Free what is buffered, because the response has ended."""
        self._buffer = bytearray()
        self._comments = bytearray()

    def feed(self, data: bytes) -> collections.abc.Iterator[bytes]:
        """Add a part of the response's body and yield the complete events.

        :param data: the part of the body
        :returns: the events that the caller doesn't have yet
        :raises EventStreamError: if what follows them isn't a part of the
            caller's stream
        """
        self._buffer += data
        while True:
            end = _find_event_end(self._buffer)
            if (end or len(self._buffer)) > const.MAX_EVENT_BYTES:
                raise errors.EventStreamError('event exceeds the size limit')
            if not end:
                return
            event = bytes(self._buffer[:end])
            del self._buffer[:end]
            event_id = self._event_format.read_id(event)
            if event_id is None and _is_comment(event):
                self._add_comment(event)
                continue
            last_id = self._counts.last_id
            self._counts.add(event_id)
            if self._accept_event(event_id, last_id):
                yield bytes(self._comments) + event
            self._comments.clear()

    def _add_comment(self, comment: bytes) -> None:
        """Keep a comment, which is no progress, until an event follows."""
        self._comments += comment
        if len(self._comments) > const.MAX_EVENT_BYTES:
            raise errors.EventStreamError('comments exceed the size limit')

    def _accept_event(
        self, event_id: int | None, last_id_here: int | None
    ) -> bool:
        """Return whether an event is new to the caller, and store its id.

        In a continuation, events that the caller already has are dropped up
        to the first new one, which must follow without a gap. An id that runs
        back, or none, means that what follows is another answer.

        :param event_id: the event's id
        :param last_id_here: the id of the response's event before it
        :raises EventStreamError: if it isn't the next event
        """
        if event_id is None:
            raise errors.EventStreamError('not an event with an id')
        if last_id_here is not None and event_id <= last_id_here:
            raise errors.EventStreamError(
                f'event {event_id} follows event {last_id_here}'
            )
        last_id = self._delivered.last_id
        if self._is_continuation and last_id is not None:
            if event_id <= last_id:
                return False
            if event_id > last_id + 1:
                raise errors.EventStreamError(
                    f'event {event_id} continues event {last_id}'
                )
        self._is_continuation = False
        self._delivered.last_id = event_id
        return True


def _find_event_end(buffer: bytearray) -> int:
    """Return the offset after the first blank line, 0 if there is none."""
    ends = [
        position + len(separator)
        for separator in (b'\n\n', b'\r\n\r\n')
        if (position := buffer.find(separator)) >= 0
    ]
    return min(ends, default=0)


def _is_comment(event: bytes) -> bool:
    """Return whether it is a comment only, which keeps a connection open."""
    return all(line.startswith(b':') for line in event.splitlines() if line)
