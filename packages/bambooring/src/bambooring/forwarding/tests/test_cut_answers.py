"""Cut targets' answers at each byte, in each framing, and look at the caller.

Pattern: a target stops anywhere in its answer and closes or resets the
connection, or answers the continuation of a stream with something else.
"""

import contextlib
import dataclasses

import pytest

from bambooring.balancing import health
from bambooring.forwarding.tests import harness as harness_module
from bambooring.forwarding.tests import raw_targets as raw
from bambooring.policy import messages as policy
from bambooring.policy import state as policy_state

BODY = b'whole answer'
EVENTS = [b'id: %d\ndata: x\n\n' % number for number in range(1, 4)]


@pytest.fixture
def make_harness():
    """Make a harness with raw targets; the first one is chosen first."""
    with contextlib.ExitStack() as stack:

        def make(*raw_targets):
            harness = harness_module.Harness(stack)
            raw.open_targets(harness, stack, raw_targets)
            return harness

        yield make


def _ask(harness, path):
    """Return what a caller gets: status, body, and whether it looks whole."""
    harness.balancer.known.health = health.HealthTracker()
    sock = harness.send_request(path)
    data = bytearray()

    def is_over():
        # Skips most of the time that a request waits for another target.
        harness.clock.advance(0.02)
        try:
            received = sock.recv(65536)
        except BlockingIOError:
            return not harness.forwarder.pending_count and _is_whole(data)
        except ConnectionResetError:
            return True
        data.extend(received)
        return not received

    harness.turn_until(is_over)
    sock.close()
    head, _, body = bytes(data).partition(b'\r\n\r\n')
    status = head.split(b' ')[1] if head else b''
    return status, body, _is_whole(data)


def _join_chunks(body):
    """Return the content of a complete body in chunks."""
    content = bytearray()
    while True:
        size, _, body = body.partition(b'\r\n')
        if not int(size, 16):
            return bytes(content)
        content += body[: int(size, 16)]
        body = body[int(size, 16) + 2 :]


def _is_whole(data):
    return b'\r\n\r\n' in data and harness_module.is_complete(bytes(data))


# Callers got 200 with a short or empty body after a target had stopped in the
# middle of its head or body.
@pytest.mark.parametrize('framing', raw.FRAMINGS)
@pytest.mark.parametrize('is_reset', [False, True])
def test_cut_plain_answer_does_not_look_whole(make_harness, framing, is_reset):
    """Only the end of a connection may end an answer without a length."""
    answer = raw.frame([BODY], framing)
    head_size = answer.index(b'\r\n\r\n') + 4
    target = raw.RawTarget(is_reset=is_reset)
    harness = make_harness(target)
    for size in range(len(answer)):
        target.answer = answer[:size]
        status, body, is_whole = _ask(harness, b'/book/1')
        if status == b'200':
            assert framing == 'none' and not is_reset and size >= head_size
            assert body == answer[head_size:size]
        else:
            assert (status, is_whole) == (b'502', True)
    target.answer = answer
    status, body, _ = _ask(harness, b'/book/1')
    if not is_reset:
        assert (status, body) == (b'200', BODY)


# Streams that ended inside an event looked complete to callers.
@pytest.mark.parametrize('framing', raw.FRAMINGS)
@pytest.mark.parametrize('is_reset', [False, True])
def test_cut_stream_does_not_look_whole(make_harness, framing, is_reset):
    """A stream without a length is whole only if it ends after an event."""
    answer = raw.frame(EVENTS, framing, b'Stream: 1')
    head_size = answer.index(b'\r\n\r\n') + 4
    ends = {head_size + len(b''.join(EVENTS[:count])) for count in range(4)}
    target = raw.RawTarget(is_reset=is_reset)
    harness = make_harness(target)
    for size in [*range(0, head_size, 8), *range(head_size, len(answer))]:
        target.answer = answer[:size]
        status, body, is_whole = _ask(harness, b'/talk/1')
        if status == b'200' and is_whole:
            assert framing == 'none' and not is_reset and size in ends
        assert status in (b'200', b'502')
    target.answer = answer
    status, body, is_whole = _ask(harness, b'/talk/1')
    if not is_reset:
        assert (status, is_whole) == (b'200', True)
        assert body.count(b'id: ') == 3


@pytest.mark.parametrize('framing', raw.FRAMINGS)
def test_stream_that_ends_inside_an_event_goes_on_elsewhere(
    make_harness, framing
):
    """Also one whose framing says that it is complete."""
    cut = raw.RawTarget(
        raw.frame([*EVENTS, b'id: 4\nda'], framing, b'Stream: 1')
    )
    rest = [b'id: 4\ndata: x\n\n', b'id: 5\ndata: x\n\n']
    harness = make_harness(
        cut, raw.RawTarget(raw.frame(rest, framing, b'Stream: 1'))
    )
    status, body, is_whole = _ask(harness, b'/talk/1')
    assert (status, is_whole) == (b'200', True)
    counts = [body.count(b'id: %d\n' % number) for number in range(1, 6)]
    assert counts == [1] * 5


# Callers found the first bytes of a broken answer before the whole one that
# another target sent.
@pytest.mark.parametrize('framing', raw.FRAMINGS)
@pytest.mark.parametrize('is_reset', [False, True])
def test_attempt_that_broke_off_leaves_nothing_in_the_next_answer(
    make_harness, framing, is_reset
):
    """Wherever the first event breaks off, its bytes are dropped."""
    whole = raw.frame(EVENTS, framing, b'Stream: 1')
    cut, sound = raw.RawTarget(is_reset=is_reset), raw.RawTarget(whole)
    harness = make_harness(cut, sound)
    head_size = whole.index(b'\r\n\r\n') + 4
    for size in range(head_size, whole.index(b'\n\n', head_size) + 2):
        cut.answer = whole[:size]
        status, body, is_whole = _ask(harness, b'/talk/1')
        assert (status, is_whole) == (b'200', True)
        assert _join_chunks(body) == b''.join(EVENTS)


# Callers found the head and the events of a second answer in their stream.
@pytest.mark.parametrize('has_same_content', [True, False])
def test_second_answer_behind_a_stream_is_dropped(
    make_harness, has_same_content
):
    """Without a length, the second answer is behind the first one's events."""
    whole = raw.frame(EVENTS, 'none', b'Stream: 1')
    second = whole
    if not has_same_content:
        second = whole.replace(b'data: x', b'data: y')
    rest = raw.RawTarget(raw.frame([], 'length', b'Stream: 1'))
    harness = make_harness(raw.RawTarget(whole + second), rest)
    status, body, is_whole = _ask(harness, b'/talk/1')
    assert (status, is_whole) == (b'200', True)
    assert _join_chunks(body) == b''.join(EVENTS)
    assert b'Last: 3' in rest.requests[0]


# Callers found the text of an error in the middle of their stream, or the
# stream ended as if it were complete.
@pytest.mark.parametrize('status', [200, 400, 404, 500, 503])
@pytest.mark.parametrize('framing', ['length', 'none'])
@pytest.mark.parametrize('count', [1, 20_000])
def test_other_answer_never_continues_a_stream(
    make_harness, status, framing, count
):
    """Whatever its size and framing, the caller's stream is broken off."""
    text = b'error text\n\n' * count
    headers = [b'Content-Type: text/plain']
    if framing == 'length':
        headers.append(b'Content-Length: %d' % len(text))
    cut = raw.RawTarget(
        raw.frame([*EVENTS, b'id: 4'], 'chunks', b'Stream: 1')[:-9]
    )
    error = raw.RawTarget(raw.make_head(status, *headers) + text)
    harness = make_harness(cut, error)
    caller_status, body, is_whole = _ask(harness, b'/talk/1')
    assert (caller_status, is_whole) == (b'200', False)
    assert len(error.requests) == 1
    assert body.count(b'id: ') == 3
    assert b'error' not in body and b'HTTP' not in body


@pytest.mark.parametrize('count', [1, 20_000])
def test_error_instead_of_a_stream_is_forwarded_as_it_is(make_harness, count):
    """Nothing of a stream was sent, so the caller gets the target's error."""
    text = b'error text\n\n' * count + b'end'
    length = b'Content-Length: %d' % len(text)
    harness = make_harness(raw.RawTarget(raw.make_head(500, length) + text))
    status, body, is_whole = _ask(harness, b'/talk/1')
    assert (status, is_whole) == (b'500', True)
    assert (_join_chunks(body) if count > 1 else body) == text


# A target wrote an earlier refusal once more, and callers were told that a
# request had not run which then ran.
@pytest.mark.parametrize('path', [b'/book/1', b'/talk/1', b'/read/1'])
def test_refusal_of_another_request_is_no_promise(make_harness, path):
    """The refusal comes where the answer to a request is due."""
    refusal = (
        b'HTTP/1.1 503 X\r\nId: 6\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n'
    )
    target = raw.RawTarget(refusal + raw.frame([BODY], 'length'))
    harness = make_harness(target)
    status, body, _ = _ask(harness, path)
    assert status == b'502'
    assert len(target.requests) == 1


def test_refusal_after_the_answer_changes_nothing(make_harness):
    """A second answer on the same connection belongs to no request."""
    refusal = (
        b'HTTP/1.1 503 X\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n'
    )
    target = raw.RawTarget(raw.frame([BODY], 'length') + refusal)
    harness = make_harness(target)
    for _ in range(3):
        status, body, _ = _ask(harness, b'/book/1')
        assert (status, body) == (b'200', BODY)
    assert len(target.requests) == 3


# Callers got both answers of a target that answered twice without a length.
@pytest.mark.parametrize('second_framing', raw.FRAMINGS)
@pytest.mark.parametrize('size', [len(BODY), 5, 0])
def test_second_answer_behind_a_plain_one_is_not_passed_on(
    make_harness, second_framing, size
):
    """Whether the first one was whole can't be known."""
    first = raw.frame([BODY[:size]], 'none')
    twice = raw.RawTarget(first + raw.frame([BODY], second_framing))
    harness = make_harness(twice, raw.RawTarget(raw.frame([BODY], 'none')))
    status, body, _ = _ask(harness, b'/read/1')
    assert (status, body) == (b'200', BODY)
    status, body, _ = _ask(harness, b'/book/1')
    assert (status, body) == (b'502', b'target_failed\n')


# Callers got the last chunk of a stream whose target had crashed between two
# events: without a length its end looks like a whole one's.
def test_stream_without_a_length_of_a_crashed_target_is_resumed(make_harness):
    """The target refuses connections, so its stream has broken off."""
    head = (b'Stream: 1',)
    first = raw.CrashingTarget(raw.frame(EVENTS[:2], 'none', *head))
    second = raw.RawTarget(raw.frame(EVENTS[2:], 'none', *head))
    harness = make_harness(first, second)
    status, body, is_whole = _ask(harness, b'/talk/1')
    assert (status, is_whole) == (b'200', True)
    assert _join_chunks(body) == b''.join(EVENTS)
    assert b'Last: 2' in second.requests[0]


def test_stream_without_a_length_that_cannot_be_resumed_is_cut(make_harness):
    """No other target goes on with it, so it must not look whole."""
    head = (b'Stream: 1',)
    first = raw.CrashingTarget(raw.frame(EVENTS[:2], 'none', *head))
    harness = make_harness(first)
    status, _, is_whole = _ask(harness, b'/talk/1')
    assert (status, is_whole) == (b'200', False)


# A part that crashed targets within streams without a length was never
# suspect, since those streams seemed to be whole.
def test_crash_within_a_stream_without_a_length_is_one(make_harness):
    """The request is suspect, like with any other framing."""
    first = raw.CrashingTarget(raw.frame(EVENTS[:1], 'none', b'Stream: 1'))
    harness = make_harness(first)
    _ask(harness, b'/talk/1')
    assert any(news.crashes for news in harness.crash_news)


# From 128 KiB on, callers got a second answer as a part of the first one.
@pytest.mark.parametrize('framing', ['none', 'length'])
@pytest.mark.parametrize('size', [100_000, 200_000, 400_000])
def test_large_answer_with_a_second_one_never_looks_complete(
    make_harness, framing, size
):
    """One without a length goes on with it, one with a length is cut."""
    whole = raw.frame([b'x' * size], framing)
    first = whole if framing == 'none' else whole[: -size // 4]
    harness = make_harness(raw.RawTarget(first + whole))
    data, is_reset = harness.read_to_end(harness.send_request(b'/book/1'))
    head, _, body = data.partition(b'\r\n\r\n')
    if head.startswith(b'HTTP/1.1 200'):
        assert is_reset or not harness_module.is_complete(data)
    assert b'HTTP/1.1' not in body


def test_body_may_quote_the_head_of_another_answer(make_harness):
    """Only an answer to the same request is a second one."""
    quote = BODY + b'HTTP/1.1 200 X\r\nId: 8\r\n\r\nHTTP/1.0 HTTP/1.'
    harness = make_harness(raw.RawTarget(raw.frame([quote], 'none')))
    status, body, _ = _ask(harness, b'/read/1')
    assert (status, body) == (b'200', quote)


def _resume_from(harness, monkeypatch, last_event_id):
    """Let callers say which event they have."""
    read_request = harness_module.Dialect.read_request

    def read(self, request):
        caller_request = read_request(self, request)
        caller_request.last_event_id = last_event_id
        return caller_request

    monkeypatch.setattr(harness_module.Dialect, 'read_request', read)


# Callers missed the first events of a stream that can't be resumed.
@pytest.mark.parametrize('last_event_id', [0, 1, 3, 9])
def test_stream_that_cannot_be_resumed_is_passed_on_whole(
    make_harness, monkeypatch, last_event_id
):
    """Whatever id its caller sent: the target need not know of such ids."""
    route = harness_module.make_route('talk', policy.RouteKind.STREAM)
    harness = make_harness(
        raw.RawTarget(raw.frame(EVENTS, 'chunks', b'Stream: 1'))
    )
    harness.forwarder.policy_table = policy_state.PolicyTable(
        dataclasses.replace(harness_module.POLICY, routes=[route])
    )
    _resume_from(harness, monkeypatch, last_event_id)
    status, body, is_whole = _ask(harness, b'/talk/1')
    assert (status, is_whole) == (b'200', True)
    assert _join_chunks(body) == b''.join(EVENTS)


# A stream of which callers had every event was broken off.
@pytest.mark.parametrize('framing', raw.FRAMINGS)
def test_continuation_that_repeats_known_events_is_not_broken_off(
    make_harness, framing
):
    """Events that the caller has already are events of the target, too."""
    cut = raw.RawTarget(raw.frame(EVENTS, 'chunks', b'Stream: 1')[:-5])
    again = raw.RawTarget(raw.frame(EVENTS, framing, b'Stream: 1'))
    harness = make_harness(cut, again)
    status, body, is_whole = _ask(harness, b'/talk/1')
    assert (status, is_whole) == (b'200', True)
    assert body.count(b'id: ') == 3


# HEAD requests for streams were refused, and their targets ejected.
def test_stream_is_not_broken_off_if_only_its_head_was_asked_for(make_harness):
    """A response to HEAD has no body, whatever its framing says."""
    target = raw.RawTarget(raw.make_head(200, b'Stream: 1'))
    harness = make_harness(target)
    sock = harness.send_request(b'/talk/1', method=b'HEAD')
    harness.turn_until(
        lambda: target.requests and not harness.forwarder.pending_count
    )
    assert sock.recv(65536).startswith(b'HTTP/1.1 200')
    sock.close()


# Callers got a part of an answer with the head of the second one behind it.
@pytest.mark.parametrize('path', [b'/read/1', b'/book/1'])
def test_second_answer_does_not_complete_a_cut_one(make_harness, path):
    """The target owes a rest when its second answer begins."""
    body = b'x' * 300
    answer = raw.frame([body], 'length')
    twice = raw.RawTarget(answer[:-200] + answer)
    harness = make_harness(twice, raw.RawTarget(answer))
    status, received, _ = _ask(harness, path)
    assert (status, received) in (
        (b'200', body),
        (b'502', b'target_failed\n'),
    )


# Callers found the head of a second answer in an event.
@pytest.mark.parametrize('text', [b'id: 4\ndata: x', b'id: 4\ndata: '])
def test_second_head_in_lower_case_is_no_part_of_an_event(make_harness, text):
    """The names of a head may be in any case."""
    first = raw.frame([*EVENTS, text], 'none', b'Stream: 1')
    second = (
        b'HTTP/1.1 200 OK\r\nattempt-id: 7\r\nsigned: 1\r\n'
        b'content-type: text/event-stream\r\n\r\n' + b''.join(EVENTS)
    )
    rest = raw.frame([b'id: 4\ndata: x\n\n'], 'length', b'Stream: 1')
    harness = make_harness(raw.RawTarget(first + second), raw.RawTarget(rest))
    status, body, _ = _ask(harness, b'/talk/1')
    assert b'HTTP' not in body


# Callers got an empty stream that looked whole.
@pytest.mark.parametrize('text', [b': wait\n\n', b'\n\n'])
def test_stream_of_comments_alone_has_broken_off(make_harness, text):
    """A comment is no event, so that nothing shows a whole stream."""
    cut = raw.RawTarget(raw.frame([text], 'none', b'Stream: 1'))
    sound = raw.RawTarget(raw.frame(EVENTS, 'none', b'Stream: 1'))
    harness = make_harness(cut, sound)
    status, body, _ = _ask(harness, b'/talk/1')
    assert status == b'200' and body.count(b'id: ') == 3
