"""Test that a second answer is found in a body of any size."""

import hypothesis
from hypothesis import strategies
import pytest

from bambooring.forwarding import second_answers
from bambooring.forwarding.tests import harness

ATTEMPT_ID = '9c41d07be2a35f68'
HEAD = b'HTTP/1.1 200 OK\r\nId: 9c41d07be2a35f68\r\nSigned: 1\r\n\r\n'
OTHER_HEAD = HEAD.replace(b'9c41', b'0000')


def _scan(parts, surplus=b''):
    """Return what is passed on of a body, and whether a head was found."""
    scanner = second_answers.BodyScanner(
        ATTEMPT_ID, harness.Dialect().read_response_head
    )
    passed_on = b''.join(scanner.feed(part) for part in parts)
    passed_on += scanner.finish(surplus)
    return passed_on, scanner.has_found


def _split(data, size):
    return [data[start : start + size] for start in range(0, len(data), size)]


# From 128 KiB on nothing was checked any more: callers got the second answer
# as a part of the first one.
@pytest.mark.parametrize('part_size', [1, 7, 4096, 65536, 10**7])
@pytest.mark.parametrize('begin', [0, 100, 60_000, 150_000])
def test_second_answer_is_found_behind_a_body_of_any_size(begin, part_size):
    """Nothing of it is passed on, however the parts are split."""
    body = b'x' * begin + HEAD + b'x' * 200
    passed_on, has_found = _scan(_split(body, part_size))
    assert has_found
    assert passed_on == b'x' * len(passed_on)
    assert len(passed_on) <= begin


@pytest.mark.parametrize('cut', [1, 7, 20, len(HEAD) - 1])
def test_second_answer_may_go_on_behind_the_body(cut):
    """The body's length ends within the second head."""
    body = b'x' * 200_000 + HEAD[:cut]
    passed_on, has_found = _scan(_split(body, 4096), HEAD[cut:])
    assert has_found
    assert len(passed_on) < len(body)


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(
            [
                b'x' * 40,
                b'H',
                b'HTTP/1.',
                b'HTTP/1.1 ',
                b'HTTP/1.1 200 OK\r\n',
                b'HTTP/1.1 404 \r\n\r\n',
                OTHER_HEAD,
                ATTEMPT_ID.encode(),
                b'\r\n\r\n',
                b'HTTP/1.1 200 OK\r\n' + b'y' * 17_000,
            ]
        ),
        max_size=12,
    ),
    strategies.integers(min_value=1, max_value=64),
)
@hypothesis.settings(deadline=None)
def test_other_bodies_are_passed_on_unchanged(pieces, part_size):
    """Heads of other answers, and what looks like a head, belong to them."""
    body = b''.join(pieces)
    passed_on, has_found = _scan(_split(body, part_size))
    assert not has_found
    assert passed_on == body


def test_little_is_kept_back():
    """A head without an end is passed on once it is too long."""
    scanner = second_answers.BodyScanner(
        ATTEMPT_ID, harness.Dialect().read_response_head
    )
    passed_on = 0
    for number in range(100):
        passed_on += len(scanner.feed(b'HTTP/1.1 200 OK ' * 256))
        assert passed_on >= (number + 1) * 4096 - 17 * 1024


def test_many_starts_of_heads_take_no_time():
    """One megabyte of them is checked in a second at the most."""
    body = b'HTTP/1.1 200 ' * 80_000
    passed_on, has_found = _scan(_split(body, 65536))
    assert (passed_on, has_found) == (body, False)
