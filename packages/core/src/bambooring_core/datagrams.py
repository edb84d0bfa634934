"""Protect datagrams by the cluster's shared key.

A datagram is a keyed hash and the message that it covers. Whoever lacks the
key can neither make one nor change one. A recorded datagram can be sent again,
so each message carries its sender, incarnation and sequence number, and the
receiver drops what is not newer than what it has.
"""

import hashlib
import hmac
import typing

from bambooring_core import codec
from bambooring_core import errors

_TAG_BYTES: typing.Final = 16

# Larger ones would have to be split into several packets even on loopback.
MAX_DATAGRAM_BYTES: typing.Final = 60000


def seal(key: bytes, message: typing.Any) -> bytes:
    """Encode a message as a datagram.

    :param key: the cluster's shared key
    :param message: an instance of a registered class
    :returns: the datagram
    :raises DatagramError: if the message is too large for one datagram
    """
    body = codec.pack_dense(message)
    if len(body) + _TAG_BYTES > MAX_DATAGRAM_BYTES:
        raise errors.DatagramError('oversized')
    return _compute_tag(key, body) + body


def unseal(key: bytes, datagram: bytes) -> typing.Any:
    """Check a datagram and decode its message.

    :param key: the cluster's shared key
    :param datagram: the received bytes
    :returns: the message
    :raises DatagramError: if it is truncated, oversized, made with another
        key or not a valid message
    """
    if len(datagram) <= _TAG_BYTES:
        raise errors.DatagramError('truncated')
    if len(datagram) > MAX_DATAGRAM_BYTES:
        raise errors.DatagramError('oversized')
    tag, body = datagram[:_TAG_BYTES], datagram[_TAG_BYTES:]
    if not hmac.compare_digest(tag, _compute_tag(key, body)):
        raise errors.DatagramError('wrong_key')
    try:
        return codec.unpack_dense(body)
    except errors.FrameError as error:
        raise errors.DatagramError('malformed') from error


def _compute_tag(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=_TAG_BYTES).digest()
