"""Send requests to targets that say in a response that they leave."""

import contextlib

import pytest

from bambooring.forwarding.tests import harness as harness_module


@pytest.fixture
def make_harness():
    """Make a harness with a target for each script."""
    with contextlib.ExitStack() as stack:
        yield lambda *scripts: harness_module.Harness(stack, *scripts)


def _ask(harness, path=b'/read/1', attempt_id=b'7'):
    """Send a request and return its status."""
    sock = harness.send_request(path, attempt_id=attempt_id)
    data, _ = harness.read_response(sock)
    return data.split(b' ')[1]


def _count_requests(target):
    return len(target.runs) + target.refusals


# Targets that had said that they leave got requests after they had to serve.
@pytest.mark.parametrize(
    'script',
    [
        harness_module.respond_and_leave,
        harness_module.refuse_and_leave,
        harness_module.fail_and_leave,
    ],
)
def test_leaving_target_gets_no_request(make_harness, script):
    """Whatever the status of the response that says so."""
    harness = make_harness(script, harness_module.respond_with_success)
    for number in range(8):
        assert _ask(harness, attempt_id=b'%d' % number) == b'200'
        harness_module.advance(harness, 0.6)
    assert _count_requests(harness.targets[0]) == 1


def test_target_that_says_so_at_the_head_of_a_stream(make_harness):
    """The stream goes on there; other requests go elsewhere at once."""
    harness = make_harness(
        harness_module.stream_and_leave, harness_module.send_stream
    )
    sock = harness.send_request(b'/talk/1', attempt_id=b'long')
    harness.turn_until(lambda: harness.targets[0].runs)
    for _ in range(20):
        harness.reactor.call_later(0.001, lambda: None)
        harness.reactor.run_once()
    others = [
        harness.send_request(b'/talk/1', attempt_id=b'%d' % number)
        for number in range(4)
    ]
    harness.turn_until(lambda: len(harness.targets[1].runs) == 4)
    harness.targets[0].cut_exchange.write(harness_module.make_events(5, 9))
    harness.targets[0].cut_exchange.end()
    data, was_reset = harness.read_response(sock)
    assert not was_reset
    assert data.count(b'id: ') == 9
    assert harness.targets[0].runs == [b'long']
    for other in others:
        other.close()


@pytest.mark.parametrize(
    'script',
    [
        harness_module.say_unsigned_that_it_leaves,
        harness_module.say_to_another_that_it_leaves,
        harness_module.misdirected_and_leaving,
    ],
)
def test_spoilt_response_marks_no_target(make_harness, script):
    """Nor one of another target, which now has the address."""
    harness = make_harness(script, harness_module.respond_with_success)
    assert _ask(harness) == b'200'
    harness_module.advance(harness, 5.0)
    harness.targets[0].script = harness_module.respond_with_success
    for number in range(4):
        assert _ask(harness, attempt_id=b'%d' % number) == b'200'
    assert _count_requests(harness.targets[0]) > 1


# Requests at a target that left were taken for what had crashed it.
def test_end_of_a_leaving_target_is_no_crash(make_harness):
    """Though it ends with a request under way that it hasn't answered."""
    harness = make_harness(
        harness_module.leave_then_hang, harness_module.send_stream
    )
    harness.targets[1].script = harness_module.refuse
    sock = harness.send_request(b'/talk/1', attempt_id=b'first')
    harness.turn_until(lambda: harness.targets[0].runs)
    second = harness.send_request(b'/talk/1', attempt_id=b'second')
    harness.turn_until(lambda: len(harness.targets[0].runs) == 2)
    harness.targets[0].say_that_it_leaves()
    for _ in range(20):
        harness.reactor.call_later(0.001, lambda: None)
        harness.reactor.run_once()
    harness.targets[1].script = harness_module.send_stream
    harness.targets[0].stop()
    for caller in (sock, second):
        data, was_reset = _read_one(harness, caller)
        assert not was_reset
        assert data.count(b'id: ') == 9
    assert not harness.crash_news


def _read_one(harness, sock):
    """Return one response while other requests are pending."""
    data = bytearray()

    def receive():
        with contextlib.suppress(BlockingIOError):
            data.extend(sock.recv(65536))
        return harness_module.is_complete(bytes(data))

    harness.turn_until(receive)
    return bytes(data), False


def test_last_target_that_leaves_gets_no_request(make_harness):
    """Its callers are told to retry, as for one that announced it."""
    harness = make_harness(harness_module.respond_and_leave)
    assert _ask(harness) == b'200'
    sock = harness.send_request(b'/book/1', attempt_id=b'8')
    for _ in range(10):
        harness_module.advance(harness, 0.2)
    data, _ = harness.read_response(sock)
    assert data.startswith(b'HTTP/1.1 503')
    assert b'Retry-After' in data
    assert harness.targets[0].runs == [b'7']
    harness.restart_targets()
    assert _ask(harness, attempt_id=b'9') == b'200'
