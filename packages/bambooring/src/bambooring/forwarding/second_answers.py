"""Find a second answer inside the body of the first one.

A target that answers twice on one connection writes the second answer where a
body without a length goes on, or where one with a length has broken off. What
stands before it is not known to be whole.
"""

import collections.abc
import re
import typing

import h11

from bambooring.forwarding import messages
from bambooring_core.http1 import checks
from bambooring_core.http1 import messages as http1

_MAX_HEAD_BYTES: typing.Final = 16 * 1024
_MARK: typing.Final = b'HTTP/1.'
_HEAD_START: typing.Final = re.compile(rb'HTTP/1\.[01] [0-9]{3}[ \r\n]')
_HEAD_START_BYTES: typing.Final = len(b'HTTP/1.1 200 ')
_STATUS: typing.Final = slice(len(b'HTTP/1.1 '), len(b'HTTP/1.1 200'))
_HEAD_END: typing.Final = re.compile(rb'\n\r?\n')

ReadHead = collections.abc.Callable[
    [http1.ResponseHead], messages.TargetResponse
]


class BodyScanner:
    """Look through a body of any size as it passes.

    What may be the begin of a head is kept back until it is known, so that
    the end of a body is never passed on before all of it has been checked.

    :param attempt_id: the id of the request, which a second answer repeats
    :param read_head: decodes a head
    """

    __slots__ = (
        '_attempt_id',
        '_head_end',
        '_pending',
        '_read_head',
        'has_found',
    )

    def __init__(self, attempt_id: str, read_head: ReadHead) -> None:
        self._attempt_id = attempt_id
        self._read_head = read_head
        self._pending = bytearray()
        # Where the head that was looked at last ends in what is pending.
        self._head_end = 0
        self.has_found = False

    def feed(self, data: bytes) -> bytes:
        """Check the next part of the body.

        :param data: the part
        :returns: what may be passed on; nothing more once a head was found
        """
        self._pending += data
        end = len(self._pending)
        return self._take(self._scan(end, is_end=False))

    def finish(self, surplus: bytes) -> bytes:
        """Check what is left at the end of the body.

        :param surplus: what the connection holds behind it, where a head may
            go on
        :returns: the rest of the body
        """
        end = len(self._pending)
        self._pending += surplus
        self._scan(end, is_end=True)
        return self._take(end)

    def _take(self, count: int) -> bytes:
        if self.has_found:
            return b''
        taken = bytes(self._pending[:count])
        del self._pending[:count]
        return taken

    def _scan(self, end: int, *, is_end: bool) -> int:
        """Look at each head that begins before an end.

        :returns: how much of what is pending is checked
        """
        self._head_end = 0
        position = self._pending.find(_MARK)
        while 0 <= position < end:
            is_known = self._check_head(position)
            if self.has_found:
                return 0
            if not is_known and not is_end:
                return position
            position = self._pending.find(_MARK, position + 1)
        return end - _count_partial_mark(self._pending[:end])

    def _check_head(self, position: int) -> bool:
        """Check the head that seems to start at a position.

        :returns: False if more of it is needed
        """
        size = len(self._pending)
        start = self._pending[position : position + _HEAD_START_BYTES]
        if len(start) == _HEAD_START_BYTES and not _HEAD_START.match(start):
            return True
        if self._head_end <= position:
            match = _HEAD_END.search(self._pending, position)
            self._head_end = match.end() if match else size + 1
        if self._head_end - position > _MAX_HEAD_BYTES:
            return True
        if self._head_end > size:
            return False
        head = bytes(self._pending[position : self._head_end])
        if self._attempt_id.encode('latin-1') in head:
            parsed = _parse_head(head)
            self.has_found = (
                parsed is not None
                and self._read_head(parsed).attempt_id == self._attempt_id
            )
        return True


def _count_partial_mark(data: bytes | bytearray) -> int:
    """Return how many bytes at the end may be the begin of a head."""
    tail = bytes(data[-len(_MARK) + 1 :])
    sizes = (
        size
        for size in range(len(tail), 0, -1)
        if _MARK[:size] == tail[-size:]
    )
    return next(sizes, 0)


def _parse_head(data: bytes) -> http1.ResponseHead | None:
    """Parse a head, also one whose status the parser doesn't take."""
    status = int(data[_STATUS])
    if not checks.is_valid_status(status):
        data = data[: _STATUS.start] + b'500' + data[_STATUS.stop :]
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method='GET', target='/', headers=[('Host', '')]))
    try:
        parser.receive_data(data)
        event = parser.next_event()
    except h11.RemoteProtocolError:
        # It only looks like the start of a head.
        return None
    if not isinstance(event, h11.Response):
        return None
    return http1.ResponseHead(
        status=status, headers=list(event.headers.raw_items())
    )
