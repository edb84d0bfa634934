"""Answer with statuses under 100 and over 599 wherever an answer can stand.

Pattern: a target in trouble answers with status 000. Such an answer is a
failure of the target and never an answer for the caller.
"""

import contextlib

import pytest

from bambooring.balancing import health
from bambooring.forwarding.tests import harness as harness_module
from bambooring.forwarding.tests import raw_targets as raw

BODY = b'whole answer'
EVENTS = [b'id: %d\ndata: x\n\n' % number for number in range(1, 4)]
STATUSES = [b'000', b'001', b'099', b'600', b'700', b'999']


@pytest.fixture
def make_harness():
    """Make a harness with raw targets; the first one is chosen first."""
    with contextlib.ExitStack() as stack:

        def make(*raw_targets):
            harness = harness_module.Harness(stack)
            raw.open_targets(harness, stack, raw_targets)
            return harness

        yield make


def _set_status(answer, status):
    return answer.replace(b' 200 ', b' %b ' % status, 1)


def _ask(harness, path):
    """Return all that a caller gets, and whether it is reset."""
    harness.balancer.known.health = health.HealthTracker()
    return harness.read_to_end(harness.send_request(path))


def _list_statuses(data):
    """Return the statuses of all heads in what a caller got."""
    return [part[2:5] for part in data.split(b'HTTP/1.')[1:]]


@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('framing', raw.FRAMINGS)
@pytest.mark.parametrize('path', [b'/read/1', b'/book/1', b'/talk/1'])
def test_answer_with_an_invalid_status(make_harness, path, framing, status):
    """Callers got it as it was; it fails, and is retried where allowed."""
    answer = raw.frame([BODY], framing, b'Stream: 1')
    bad = raw.RawTarget(_set_status(answer, status))
    events = path == b'/talk/1'
    good_parts = EVENTS if events else [BODY]
    good_headers = [b'Stream: 1'] if events else []
    good = raw.RawTarget(raw.frame(good_parts, 'length', *good_headers))
    harness = make_harness(bad, good)
    data, _ = _ask(harness, path)
    is_retryable = path != b'/book/1'
    assert _list_statuses(data) == [b'200' if is_retryable else b'502']
    assert len(bad.requests) == 1
    assert len(good.requests) == is_retryable
    assert not harness.balancer.known.health.is_healthy(
        't0', harness.clock.now()
    )


@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('size', [len(BODY), 5, 0, 200_000])
def test_second_answer_with_an_invalid_status(make_harness, size, status):
    """Behind a body without a length, callers got it as a part of it."""
    body = (BODY * (1 + size // len(BODY)))[:size]
    first = raw.frame([body], 'none')
    second = _set_status(raw.frame([BODY], 'length'), status)
    harness = make_harness(raw.RawTarget(first + second))
    data, is_reset = _ask(harness, b'/book/1')
    if size > 128 * 1024:
        assert is_reset or not harness_module.is_complete(data)
    else:
        assert _list_statuses(data) == [b'502']
    assert b' %b X' % status not in data


@pytest.mark.parametrize('status', STATUSES)
def test_second_answer_that_cuts_off_a_body(make_harness, status):
    """The first answer has a length and is short of it."""
    whole = raw.frame([BODY * 100], 'length')
    second = _set_status(whole, status)
    harness = make_harness(raw.RawTarget(whole[:-1000] + second))
    data, _ = _ask(harness, b'/book/1')
    assert _list_statuses(data) == [b'502']


@pytest.mark.parametrize('status', STATUSES)
def test_invalid_status_behind_a_whole_answer(make_harness, status):
    """What stands behind a body of known length belongs to no request."""
    whole = raw.frame([BODY], 'length')
    target = raw.RawTarget(whole + _set_status(whole, status))
    harness = make_harness(target)
    data, _ = _ask(harness, b'/book/1')
    assert _list_statuses(data) == [b'200']
    assert data.endswith(BODY)


@pytest.mark.parametrize('status', STATUSES)
@pytest.mark.parametrize('framing', raw.FRAMINGS)
def test_invalid_status_instead_of_a_continuation(
    make_harness, framing, status
):
    """A stream that broke off goes on at a target that continues it."""
    cut = raw.frame(EVENTS, 'length', b'Stream: 1')
    first = raw.RawTarget(cut[: -len(EVENTS[2])])
    rest = raw.frame(EVENTS[2:], framing, b'Stream: 1')
    bad = raw.RawTarget(_set_status(rest, status))
    harness = make_harness(first, bad)
    data, is_reset = _ask(harness, b'/talk/1')
    assert _list_statuses(data) == [b'200']
    assert is_reset or not harness_module.is_complete(data)
    assert EVENTS[2] not in data
    assert b'Last: 2' in bad.requests[0]


@pytest.mark.parametrize('status', STATUSES)
def test_invalid_status_in_the_middle_of_a_stream(make_harness, status):
    """It stands where the next event is due, and is none."""
    start = raw.frame(EVENTS[:2], 'none', b'Stream: 1')
    second = _set_status(raw.frame([BODY], 'none'), status)
    harness = make_harness(raw.RawTarget(start + second))
    data, is_reset = _ask(harness, b'/talk/1')
    assert _list_statuses(data) == [b'200']
    assert is_reset or not harness_module.is_complete(data)
    assert BODY not in data
