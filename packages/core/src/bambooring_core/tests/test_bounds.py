"""Test which numbers from outside are accepted."""

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
