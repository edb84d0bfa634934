"""Test which numbers from outside are accepted."""

import typing

import h11
import pytest

from bambooring_core import bounds


@pytest.mark.parametrize(
    ('text', 'value'),
    [
        (b'0', 0),
        (b'007', 7),
        (b'255', 255),
        (b'256', None),
        (b'', None),
        (b'-1', None),
        (b'+1', None),
        (b' 1', None),
        (b'1_0', None),
        ('\u00b2'.encode('latin-1'), None),
        (b'9' * 4400, None),
        (b'0' * 4400, None),
    ],
)
def test_parse_count(text, value):
    """Only digits of a number with room in the width are read."""
    assert bounds.parse_count(text, 8) == value


@pytest.mark.parametrize('value', [0, 0.5, 1, 2.0])
def test_number(value):
    """An integer or a fraction from 0 to the maximum is a number."""
    assert bounds.is_number(value, 2)


@pytest.mark.parametrize(
    'value',
    [True, None, '1', -1, 2.1, 10**400, float('nan'), float('inf')],
)
def test_no_number(value):
    """What can't be calculated with is no number."""
    assert not bounds.is_number(value, 2)


@pytest.mark.parametrize(
    ('value', 'is_accepted'),
    [
        ('a', True),
        ('\u00e9\U0001f600', True),
        ('a' * bounds.MAX_TEXT_LENGTH, True),
        ('a' * (bounds.MAX_TEXT_LENGTH + 1), False),
        ('', False),
        ('a\ud800', False),
        ('\udfff', False),
        (b'a', False),
        (None, False),
    ],
)
def test_text(value, is_accepted):
    """A text is accepted if it has an encoding and isn't too long."""
    assert bounds.is_text(value) is is_accepted


def _can_send(text):
    headers = [(b'Host', b'x'), (b'X', text.encode())]
    try:
        h11.Request(method='GET', target='/', headers=headers)
    except h11.LocalProtocolError:
        return False
    return True


@pytest.mark.parametrize('form', ['{}', '{}b', 'a{}', 'a{}b'])
def test_header_text(form):
    """The HTTP library sends every text that is accepted as a header."""
    texts = [form.format(chr(number)) for number in range(1, 0x400)]
    accepted = [text for text in texts if bounds.is_header_text(text)]
    assert len(accepted) > 900
    assert all(_can_send(text) for text in accepted)


def test_depth():
    """Only nesting counts, not the number of values."""
    value: typing.Any = 1
    for _ in range(5):
        value = {'a': [1, 2], 'b': [value]}
    assert not bounds.is_nested_deeper(value, 10)
    assert bounds.is_nested_deeper(value, 9)


@pytest.mark.parametrize('value', ['10.0.0.9:1', '255.255.255.255:65535'])
def test_address(value):
    """An IPv4 address with a port is an address."""
    assert bounds.is_address(value)


@pytest.mark.parametrize(
    'value',
    [
        '',
        'worker:80',
        '10.0.0.9',
        '10.0.0.9:',
        '10.0.0.9:0',
        '10.0.0.9:65536',
        '10.0.0.9:8_0',
        '10.0.0.9: 80',
        '10.0.0.256:80',
        '10.0.0.09:80',
        '10.0.9:80',
        '10.0.0.0.9:80',
        '10.0.0.\u0669:80',
        '::1:80',
    ],
)
def test_no_address(value):
    """What can't be connected to as it stands is no address."""
    assert not bounds.is_address(value)
