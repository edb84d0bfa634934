"""Test that only whole datagrams made with the cluster's key are accepted.

Whoever reaches the port of an entry instance could otherwise make a target
look full to all callers.
"""

import hypothesis
from hypothesis import strategies
import pytest

from bambooring_core import datagrams
from bambooring_core import errors
from bambooring_core import handshake

KEY = b'k' * 32
MESSAGE = handshake.Heartbeat(sequence=7)


def _get_reason(data, key=KEY):
    with pytest.raises(errors.DatagramError) as raised:
        datagrams.unseal(key, data)
    return str(raised.value)


def test_message_survives():
    """A sealed message is read back unchanged."""
    assert datagrams.unseal(KEY, datagrams.seal(KEY, MESSAGE)) == MESSAGE


def test_foreign_datagrams_are_named_by_reason():
    """Another key and a cut end are told apart from what is too large."""
    data = datagrams.seal(KEY, MESSAGE)
    assert _get_reason(data, b'x' * 32) == 'wrong_key'
    assert _get_reason(data[:-1]) == 'wrong_key'
    assert _get_reason(data[:10]) == 'truncated'
    assert _get_reason(b'') == 'truncated'
    oversized = b'x' * (datagrams.MAX_DATAGRAM_BYTES + 1)
    assert _get_reason(oversized) == 'oversized'


def test_valid_tag_over_garbage():
    """Bytes that are no message are refused even with a valid tag."""
    body = b'\xff\xffgarbage'
    assert _get_reason(datagrams._compute_tag(KEY, body) + body) == 'malformed'


@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes(data):
    """No bytes lead to anything but a datagram error."""
    _get_reason(data)


@hypothesis.given(strategies.binary(min_size=2, max_size=200))
def test_arbitrary_bodies_with_the_key(body):
    """No body leads to anything but a message or a datagram error."""
    data = datagrams._compute_tag(KEY, body) + body
    try:
        datagrams.unseal(KEY, data)
    except errors.DatagramError as error:
        assert str(error) == 'malformed'
