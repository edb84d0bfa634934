"""Split event streams at any byte, cut them off and resume them."""

import hypothesis
from hypothesis import strategies
import pytest

from bambooring.forwarding import errors
from bambooring.forwarding import events

FORMAT = events.EventFormat((b'model-version',))


def _make_events(first_id, last_id, line_end=b'\n'):
    return [
        b'id: %d%bdata: %d%b%b'
        % (event_id, line_end, event_id * 7, line_end, line_end)
        for event_id in range(first_id, last_id + 1)
    ]


def _feed(stream, data):
    return list(stream.feed(data))


def test_partial_event_is_buffered():
    """Only complete events are passed on."""
    delivered = events.DeliveredEvents(None)
    stream = events.EventReader(delivered, FORMAT)
    all_events = _make_events(1, 2)
    assert _feed(stream, all_events[0] + all_events[1][:5]) == all_events[:1]
    assert stream.has_partial_event
    assert _feed(stream, all_events[1][5:]) == all_events[1:]
    assert not stream.has_partial_event
    assert delivered.last_id == 2


@hypothesis.given(
    strategies.integers(0, 9),
    strategies.integers(0, 9),
    strategies.integers(1, 40),
    strategies.sampled_from([b'\n', b'\r\n']),
)
def test_resumed_stream_is_complete(cut_index, overlap, chunk_size, line_end):
    """Wherever a stream is cut and resumed, each event comes once."""
    all_events = _make_events(1, 12, line_end)
    delivered = events.DeliveredEvents(None)
    stream = events.EventReader(delivered, FORMAT)
    first_response = (
        b''.join(all_events[:cut_index]) + all_events[cut_index][:7]
    )
    received = []
    for start in range(0, len(first_response), chunk_size):
        received += _feed(stream, first_response[start : start + chunk_size])
    stream = events.EventReader(delivered, FORMAT)
    resumed = b''.join(all_events[max(0, cut_index - overlap) :])
    for start in range(0, len(resumed), chunk_size):
        received += _feed(stream, resumed[start : start + chunk_size])
    assert received == all_events


def test_gap_is_refused():
    """A resumed response that skips an event is refused."""
    delivered = events.DeliveredEvents(None)
    stream = events.EventReader(delivered, FORMAT)
    _feed(stream, b''.join(_make_events(1, 3)))
    stream = events.EventReader(delivered, FORMAT)
    with pytest.raises(errors.EventStreamError):
        _feed(stream, _make_events(5, 5)[0])


def test_caller_resumes_a_stream():
    """A caller that already has events gets those that follow."""
    delivered = events.DeliveredEvents(12)
    stream = events.EventReader(delivered, FORMAT)
    assert _feed(stream, _make_events(13, 13)[0]) == _make_events(13, 13)
    assert delivered.last_id == 13


# Callers that resumed a stream got events twice from a target that began anew.
def test_stream_that_begins_anew_is_continued_for_its_caller():
    """Also in the first attempt, the caller gets only what it lacks."""
    stream = events.EventReader(events.DeliveredEvents(3), FORMAT)
    assert _feed(stream, b''.join(_make_events(1, 5))) == _make_events(4, 5)


# Callers that resumed a stream missed events without noticing.
def test_stream_that_skips_what_its_caller_lacks_is_refused():
    """Also in the first attempt."""
    stream = events.EventReader(events.DeliveredEvents(3), FORMAT)
    with pytest.raises(errors.EventStreamError):
        _feed(stream, _make_events(5, 5)[0])


# Callers found a second answer, or events once more, in a stream that had not
# been interrupted.
@pytest.mark.parametrize(
    'surplus',
    [
        b'id: 3\ndata: 21\n\n',
        b'id: 2\ndata: 14\n\n',
        b'id: 1\ndata: 7\n\n',
        b'HTTP/1.1 200 OK\r\nId: 7\r\n\r\n',
        b'HTTP/1.1 200 OK\nid: 4\nid: 5\n\n',
        b'data: 28\n\n',
        b'id: x\ndata: 28\n\n',
        b'id: -4\ndata: 28\n\n',
        b'id: 4\ndaid: 4\nid: 4\ndata: 28\n\n',
        b'id: 4\ndaHTTP/1.1 200 OK\r\nId: 7\r\n\r\n',
        b'id: 4\ndata: HTTP/1.1 200 OK\r\nId: 7\r\n\r\n',
        b'id\n\n',
        b'id: %b\ndata: 28\n\n' % (b'9' * 5000),
    ],
)
@pytest.mark.parametrize('last_id', [None, 0, 2])
def test_what_follows_a_stream_is_no_part_of_it(surplus, last_id):
    """Events before it are passed on, what comes with or after it is not."""
    delivered = events.DeliveredEvents(last_id)
    stream = events.EventReader(delivered, FORMAT)
    all_events = _make_events(1, 3)
    received: list[bytes] = []
    with pytest.raises(errors.EventStreamError):
        received.extend(
            stream.feed(b''.join(all_events) + surplus + b'id: 4\n\n')
        )
    assert received == all_events[last_id or 0 :]
    assert delivered.last_id == 3


def test_event_may_have_fields_of_the_platform():
    """They may come before the id, in lines that end either way."""
    stream = events.EventReader(events.DeliveredEvents(None), FORMAT)
    data = (
        b'model-version: 7\r\nid: 1\r\ndata: x\r\n\r\n'
        b'event: e\nid:2\ndata: id: 5\n\nid: 3\n: c\ndata\nretry: 9\n\n'
    )
    assert b''.join(_feed(stream, data)) == data


def test_ids_may_skip_and_comments_may_come():
    """Ids have to increase, not to be consecutive, in the first response."""
    stream = events.EventReader(events.DeliveredEvents(None), FORMAT)
    data = b': wait\n\nid: 2\ndata: x\n\n: wait\n\nid: 7\ndata: x\n\n'
    assert b''.join(_feed(stream, data)) == data


# Callers found the comments of a failed answer before the next answer, and a
# stalled stream counted as alive.
def test_comment_is_passed_on_with_the_event_behind_it():
    """A comment alone is neither a part of a stream nor progress."""
    stream = events.EventReader(events.DeliveredEvents(None), FORMAT)
    assert not _feed(stream, b': wait\n\n: wait\n\n')
    assert _feed(stream, b'id: 1\n\n') == [b': wait\n\n: wait\n\nid: 1\n\n']
    assert _feed(stream, b'id: 2\n\n') == [b'id: 2\n\n']


def test_comments_without_end_end_the_attempt():
    """They are kept, so their size is bounded."""
    stream = events.EventReader(events.DeliveredEvents(None), FORMAT)
    with pytest.raises(errors.EventStreamError):
        _feed(stream, b': wait\n\n' * 10_000)
