"""Encode messages as length-prefixed frames and decode a byte stream.

A frame is a 4-byte length and a 2-byte type, both little-endian, followed
by the message's Cap'n Proto bytes. The length is that of the message alone.
"""

import collections.abc
import struct
import typing

from bambooring_core import codec
from bambooring_core import const
from bambooring_core import errors

_HEADER = struct.Struct('<IH')


def encode(message: typing.Any) -> bytes:
    """Encode a message with its frame header.

    :param message: an instance of a registered class
    :returns: the frame
    :raises FrameError: if the encoded message exceeds the size limit
    """
    return add_header(codec.get_type_id(message), codec.encode(message))


def add_header(type_id: int, payload: bytes) -> bytes:
    """Prepend the frame header to an encoded message.

    :param type_id: the frame type
    :param payload: the encoded message
    :returns: the frame
    :raises FrameError: if the encoded message exceeds the size limit
    """
    if len(payload) > const.FRAME_LIMIT_BYTES:
        raise errors.FrameError(
            f'frame of {len(payload)} bytes exceeds the limit'
        )
    return _HEADER.pack(len(payload), type_id) + payload


class FrameReader:
    """Decode messages from a byte stream that arrives in pieces."""

    __slots__ = ('_buffer', '_limit_bytes')

    def __init__(self, limit_bytes: int = const.FRAME_LIMIT_BYTES) -> None:
        self._buffer = bytearray()
        self._limit_bytes = limit_bytes

    def feed(self, data: bytes) -> collections.abc.Iterator[typing.Any]:
        """Add received bytes and yield the messages that they complete.

        :param data: the received bytes
        :raises FrameError: if a frame exceeds the size limit or is malformed
        """
        self._buffer += data
        offset = 0
        try:
            while len(self._buffer) - offset >= _HEADER.size:
                size, type_id = _HEADER.unpack_from(self._buffer, offset)
                if size > self._limit_bytes:
                    raise errors.FrameError(
                        f'frame of {size} bytes exceeds the limit'
                    )
                start = offset + _HEADER.size
                if len(self._buffer) < start + size:
                    return
                offset = start + size
                payload = bytes(memoryview(self._buffer)[start:offset])
                yield codec.decode(type_id, payload)
        finally:
            del self._buffer[:offset]
