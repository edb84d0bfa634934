"""Cut a stream into whole events, and join two runs of it."""

import collections.abc

from bambooring.forwarding import errors

_MAX_EVENT_BYTES = 1024 * 1024


class ResumableEventStream:
    """Let through whole events, each once and in order.

    Only a whole event is passed on, so a run that breaks in the middle of
    an event leaves nothing behind that the next run would have to mend.
    """

    __slots__ = ('_buffer', '_must_be_contiguous', 'last_event_id')

    def __init__(self, last_event_id: int | None) -> None:
        self._buffer = bytearray()
        self._must_be_contiguous = False
        self.last_event_id = last_event_id

    @property
    def has_partial_event(self) -> bool:
        """Tell whether a part of an event is held back."""
        return bool(self._buffer)

    def restart(self) -> None:
        """Begin with another run after what was passed on."""
        self._buffer.clear()
        self._must_be_contiguous = self.last_event_id is not None

    def feed(self, data: bytes) -> collections.abc.Iterator[bytes]:
        """Take bytes of the run and yield the whole events in them.

        :param data: the bytes
        :returns: the events that the caller doesn't have yet
        :raises StreamGapError: if a resumed run leaves out an event
        """
        self._buffer += data
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise errors.StreamGapError('event too large')
        while True:
            end = _find_event_end(self._buffer)
            if not end:
                return
            event = bytes(self._buffer[:end])
            del self._buffer[:end]
            if self._accept_event_id(_read_event_id(event)):
                yield event

    def take_remainder(self) -> bytes:
        """Return what follows the last whole event at a proper end."""
        remainder = bytes(self._buffer)
        self._buffer.clear()
        return remainder

    def _accept_event_id(self, event_id: int | None) -> bool:
        if event_id is None:
            return True
        last_id = self.last_event_id
        if self._must_be_contiguous and last_id is not None:
            if event_id <= last_id:
                return False
            if event_id > last_id + 1:
                raise errors.StreamGapError(f'{event_id} after {last_id}')
        self._must_be_contiguous = False
        self.last_event_id = event_id
        return True


def _find_event_end(buffer: bytearray) -> int:
    """Return the offset after the first blank line, or 0."""
    ends = [
        position + len(separator)
        for separator in (b'\n\n', b'\r\n\r\n')
        if (position := buffer.find(separator)) >= 0
    ]
    return min(ends, default=0)


def _read_event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        name, _, value = line.partition(b':')
        if name == b'id':
            value = value.strip()
            return int(value) if value.isdigit() else None
    return None
