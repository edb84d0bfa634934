"""Send requests that crash targets, and sound ones beside them."""

import contextlib

import pytest

from bambooring.forwarding.tests import harness as harness_module

SOUND = b'system own'
DEADLY = b'system deadly own'


@pytest.fixture
def make_harness():
    """Make a harness with a number of targets that all follow one script."""
    with contextlib.ExitStack() as stack:
        yield lambda count, script: harness_module.Harness(
            stack, *[script] * count
        )


def _ask(harness, path, **request):
    """Send a request; return its status and whether the stream was whole."""
    runs = harness.run_count
    data, _ = harness.read_response(harness.send_request(path, **request))
    return data.split(b' ')[1], harness.run_count - runs, data


# Callers of a whole service were cut off because each request with one part
# in common was sent and sent again, and crashed one target after another.
def test_part_that_crashed_a_target_reaches_no_other_target(make_harness):
    """No two requests are alike, but all have the same part."""
    harness = make_harness(4, harness_module.crash_on_deadly_part)
    assert _ask(harness, b'/talk/1', parts=SOUND)[:2] == (b'200', 1)
    status, runs, _ = _ask(harness, b'/talk/1', parts=DEADLY)
    assert (status, runs) == (b'502', 1)
    for number in range(5):
        status, runs, data = _ask(
            harness,
            b'/talk/%d' % number,
            parts=b'system%d deadly own%d' % (number, number),
            body=b'%d' % number,
        )
        assert (status, runs) == (b'503', 0)
        assert b'Retry-After' in data


# Sound callers were refused although they only shared their first part with
# requests that had crashed a target.
def test_parts_beside_the_deadly_one_are_served_at_the_first_attempt(
    make_harness,
):
    """Right after a crash, parts that were answered before are not held."""
    harness = make_harness(4, harness_module.crash_on_deadly_part)
    _ask(harness, b'/talk/1', parts=SOUND)
    _ask(harness, b'/talk/1', parts=DEADLY)
    _ask(harness, b'/talk/1', parts=DEADLY)
    for number in range(3):
        status, runs, _ = _ask(
            harness, b'/talk/1', parts=b'system own%d' % number
        )
        assert (status, runs) == (b'200', 1)


# A part that crashed each target after its first event was taken for sound
# with that event, and was sent to target after target.
@pytest.mark.parametrize('event_count', [1, 5])
def test_part_that_crashes_targets_within_their_answer_is_held_back(
    make_harness, event_count
):
    """No request with it reaches a target until a probe is due."""
    harness = make_harness(6, harness_module.crash_within_answer)
    for target in harness.targets:
        target.event_count = event_count
    assert _ask(harness, b'/talk/1', parts=SOUND)[:2] == (b'200', 1)
    for number in range(5):
        _ask(
            harness,
            b'/talk/%d' % number,
            parts=b'system deadly own%d' % number,
            body=b'%d' % number,
        )
    assert harness.run_count == 2
    for number in range(3):
        status, runs, _ = _ask(harness, b'/talk/1', parts=SOUND)
        assert (status, runs) == (b'200', 1)


def test_request_that_crashes_targets_within_their_answer_is_held_back(
    make_harness,
):
    """It has no part in common with others, but comes again and again."""
    harness = make_harness(6, harness_module.crash_within_answer)
    assert _ask(harness, b'/talk/1', parts=SOUND)[:2] == (b'200', 1)
    for number in range(4):
        _ask(harness, b'/talk/1', parts=b'deadly', attempt_id=b'%d' % number)
    assert harness.run_count == 3


def test_cut_stream_makes_no_part_suspect(make_harness):
    """Its target still accepts connections, so it hasn't crashed."""
    harness = make_harness(2, harness_module.cut_stream)
    sock = harness.send_request(b'/talk/1', parts=b'system new own')
    harness.turn_until(lambda: harness.run_count == 1)
    for target in harness.targets:
        target.script = harness_module.send_stream
        if target.runs:
            target.cut_exchange.abort()
    data, _ = harness.read_response(sock)
    assert data.startswith(b'HTTP/1.1 200')
    assert is_whole(data)
    assert _ask(harness, b'/talk/2', parts=b'system new two')[0] == b'200'
    assert not any(news.crashes for news in harness.crash_news)


def is_whole(data):
    """Return whether a stream has all its events."""
    return data.endswith(b'0\r\n\r\n') and b'id: 9\n' in data


# A request without parts that came again and again crashed a target each time.
def test_request_that_crashed_two_targets_is_not_sent_again(make_harness):
    """The same path, caller and body are known again, whatever the id."""
    harness = make_harness(6, harness_module.crash_on_deadly_body)
    for number in range(4):
        _ask(
            harness,
            b'/read/1',
            body=b'deadly',
            attempt_id=b'%d' % number,
        )
    assert harness.run_count == 2
    status, runs, _ = _ask(harness, b'/read/1', body=b'sound')
    assert (status, runs) == (b'200', 1)


def _hold(target, exchange):
    """Run a request without an answer until the test drops it."""
    target.record_run(exchange)
    target.held_exchange = exchange


# Sound callers were refused for seconds after a probe whose target left.
def test_probe_ends_with_its_attempt(make_harness):
    """Also if the target ends because it is leaving, which is no crash."""
    harness = make_harness(1, harness_module.crash_on_deadly_part)
    _ask(harness, b'/talk/1', parts=SOUND)
    _ask(harness, b'/talk/1', parts=DEADLY)
    harness_module.advance(harness, 2.1)
    (target,) = harness.targets
    target.script = _hold
    harness.restart_targets()
    sock = harness.send_request(b'/talk/1', parts=DEADLY, time_left=b'1')
    harness.turn_until(lambda: harness.run_count == 3)
    harness.balancer.set_targets([])
    target.held_exchange.abort()
    harness_module.advance(harness, 1.0)
    data, _ = harness.read_response(sock)
    assert data.startswith(b'HTTP/1.1 502')
    target.script = harness_module.send_stream
    harness.restart_targets()
    status, runs, _ = _ask(harness, b'/talk/1', parts=b'system deadly new')
    assert (status, runs) == (b'200', 1)
