"""Cut streams anywhere, break them, and join what follows."""

import hypothesis
from hypothesis import strategies
import pytest

from bambooring.forwarding import errors
from bambooring.forwarding import events


def _make(first, last, mark=b'\n'):
    return [
        b'id: %d%bdata: %d%b%b' % (one, mark, one * 7, mark, mark)
        for one in range(first, last + 1)
    ]


def _feed(joiner, data):
    return list(joiner.feed(data))


def test_holds_back_a_part():
    """Only whole events are passed on."""
    joiner = events.EventJoiner(None)
    whole = _make(1, 2)
    assert _feed(joiner, whole[0] + whole[1][:5]) == whole[:1]
    assert joiner.has_part
    assert _feed(joiner, whole[1][5:]) == whole[1:]
    assert not joiner.has_part
    assert joiner.last_event_id == 2


@hypothesis.given(
    strategies.integers(0, 9),
    strategies.integers(0, 9),
    strategies.integers(1, 40),
    strategies.sampled_from([b'\n', b'\r\n']),
)
def test_joined_runs_are_whole(broken, overlap, size, mark):
    """Whatever is cut and repeated, each event comes once, in order."""
    whole = _make(1, 12, mark)
    joiner = events.EventJoiner(None)
    first = b''.join(whole[:broken]) + whole[broken][:7]
    passed = []
    for start in range(0, len(first), size):
        passed += _feed(joiner, first[start : start + size])
    joiner.restart()
    again = b''.join(whole[max(0, broken - overlap) :])
    for start in range(0, len(again), size):
        passed += _feed(joiner, again[start : start + size])
    assert passed == whole


def test_refuses_a_gap():
    """A run that leaves out an event can't be joined."""
    joiner = events.EventJoiner(None)
    _feed(joiner, b''.join(_make(1, 3)))
    joiner.restart()
    with pytest.raises(errors.StreamGapError):
        _feed(joiner, _make(5, 5)[0])


def test_caller_resumes():
    """A caller that has events already gets those that follow."""
    joiner = events.EventJoiner(12)
    assert _feed(joiner, _make(13, 13)[0]) == _make(13, 13)
    assert joiner.last_event_id == 13
