"""Define which numbers and texts from outside are accepted.

What callers, targets and operators send ends up in arithmetic, in messages
with fields of fixed width and in headers. Each of these raises an error on
values that it has no room for, so decoders check them by this module first.
"""

import collections.abc
import typing

# The widths of unsigned fields in messages.
BYTE_BITS: typing.Final = 8
SHORT_BITS: typing.Final = 16
INTEGER_BITS: typing.Final = 32
LONG_BITS: typing.Final = 64
# Milliseconds since 1970, until the year 2248. No clock is needed to refuse
# later ones.
TIME_BITS: typing.Final = 43

# As many as the highest number of 64 bits has.
MAX_DIGITS: typing.Final = 20

# The highest integer that JSON readers with double precision know exactly.
# Fields of 64 bits have room for sums of it.
EXACT_BITS: typing.Final = 53
MAX_NUMBER: typing.Final = 2**EXACT_BITS - 1
MAX_DURATION_MS: typing.Final = MAX_NUMBER

# Names are far shorter.
MAX_TEXT_LENGTH: typing.Final = 1024
# For texts that callers send in a request's head.
MAX_HEAD_TEXT_LENGTH: typing.Final = 65536

# Documents are decoded by several instances, whose stacks are not equally
# deep. None of them may run out of stack on what another one accepted.
MAX_DEPTH: typing.Final = 64


def is_count(value: typing.Any, bits: int) -> typing.TypeGuard[int]:
    """Return whether a value is an unsigned integer of a number of bits."""
    if not isinstance(value, int) or isinstance(value, bool):
        return False
    return 0 <= value < 1 << bits


def parse_count(text: bytes, bits: int) -> int | None:
    """Decode an unsigned integer in decimal digits.

    :param text: the digits
    :param bits: the width of the integer
    :returns: None if the text is no such integer
    """
    if len(text) > MAX_DIGITS or not text.isdigit():
        return None
    value = int(text)
    return value if is_count(value, bits) else None


def clip_count(value: int, bits: int) -> int:
    """Return a count, or the highest of a number of bits if it is higher.

    For sums of counts from outside, each of which is in range.
    """
    return min(value, (1 << bits) - 1)


def is_number(
    value: typing.Any, maximum: float = MAX_NUMBER
) -> typing.TypeGuard[float]:
    """Return whether a value is a number from 0 to a maximum."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        return False
    # The comparison is false for NaN.
    return 0 <= value <= maximum


def is_text(
    value: typing.Any, max_length: int = MAX_TEXT_LENGTH
) -> typing.TypeGuard[str]:
    """Return whether a value is a text that is not empty or too long.

    JSON can escape half of a surrogate pair, which has no UTF-8 encoding.
    """
    if not isinstance(value, str) or not 0 < len(value) <= max_length:
        return False
    return not any('\ud800' <= character <= '\udfff' for character in value)


def is_host(value: str) -> bool:
    """Return whether a text is an IPv4 address in its usual form."""
    parts = [
        parse_count(part.encode(), BYTE_BITS) for part in value.split('.')
    ]
    return len(parts) == 4 and value == '.'.join(map(str, parts))


def is_address(value: str) -> bool:
    """Return whether a text is an IPv4 address with a port above 0."""
    host, _, port = value.rpartition(':')
    return is_host(host) and bool(parse_count(port.encode(), SHORT_BITS))


def is_header_text(value: str) -> bool:
    """Return whether a text can be sent as the value of a header."""
    if value != value.strip(' \t'):
        return False
    return not any(
        (character < ' ' and character != '\t') or character == '\x7f'
        for character in value
    )


def is_nested_deeper(value: typing.Any, depth: int = MAX_DEPTH) -> bool:
    """Return whether decoded JSON is nested more deeply than a limit."""
    level = [value]
    for _ in range(depth + 1):
        level = [item for parent in level for item in _list_items(parent)]
    return bool(level)


def _list_items(value: typing.Any) -> collections.abc.Collection[typing.Any]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()
