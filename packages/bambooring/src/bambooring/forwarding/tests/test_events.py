"""Split event streams at any byte, cut them off and resume them."""

import hypothesis
from hypothesis import strategies
import pytest

from bambooring.forwarding import errors
from bambooring.forwarding import events


def _make_events(first, last, line_end=b'\n'):
    return [
        b'id: %d%bdata: %d%b%b'
        % (event_id, line_end, event_id * 7, line_end, line_end)
        for event_id in range(first, last + 1)
    ]


def _feed(stream, data):
    return list(stream.feed(data))


def test_partial_event_is_buffered():
    """Only complete events are passed on."""
    stream = events.ResumableEventStream(None)
    whole = _make_events(1, 2)
    assert _feed(stream, whole[0] + whole[1][:5]) == whole[:1]
    assert stream.has_partial_event
    assert _feed(stream, whole[1][5:]) == whole[1:]
    assert not stream.has_partial_event
    assert stream.last_event_id == 2


@hypothesis.given(
    strategies.integers(0, 9),
    strategies.integers(0, 9),
    strategies.integers(1, 40),
    strategies.sampled_from([b'\n', b'\r\n']),
)
def test_resumed_stream_is_complete(broken, overlap, size, line_end):
    """Wherever a stream is cut and resumed, each event comes once."""
    whole = _make_events(1, 12, line_end)
    stream = events.ResumableEventStream(None)
    first = b''.join(whole[:broken]) + whole[broken][:7]
    passed = []
    for start in range(0, len(first), size):
        passed += _feed(stream, first[start : start + size])
    stream.restart()
    again = b''.join(whole[max(0, broken - overlap) :])
    for start in range(0, len(again), size):
        passed += _feed(stream, again[start : start + size])
    assert passed == whole


def test_gap_is_refused():
    """A resumed response that skips an event is refused."""
    stream = events.ResumableEventStream(None)
    _feed(stream, b''.join(_make_events(1, 3)))
    stream.restart()
    with pytest.raises(errors.StreamGapError):
        _feed(stream, _make_events(5, 5)[0])


def test_caller_resumes_a_stream():
    """A caller that already has events gets those that follow."""
    stream = events.ResumableEventStream(12)
    assert _feed(stream, _make_events(13, 13)[0]) == _make_events(13, 13)
    assert stream.last_event_id == 13
