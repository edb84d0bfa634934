"""Forward requests over loopback sockets to targets that fail."""

import contextlib

import pytest

from bambooring.forwarding.tests import harness as harness_module


@pytest.fixture
def make_harness():
    """Make a harness with a target for each script.

    Only the first target is in the failure domain of the forwarder.
    """
    with contextlib.ExitStack() as stack:
        yield lambda *scripts: harness_module.Harness(stack, *scripts)


@pytest.mark.parametrize(
    'script',
    [
        harness_module.refuse,
        harness_module.reset_connection,
        harness_module.cut_response,
        harness_module.respond_with_wrong_id,
    ],
)
def test_idempotent_request_is_retried_at_another_target(make_harness, script):
    """A request that may be repeated gets a response of another target."""
    harness = make_harness(script, harness_module.respond_with_success)
    data, _ = harness.read_response(harness.send_request(b'/read/1'))
    assert data.startswith(b'HTTP/1.1 200')
    assert data.endswith(b'whole')
    assert harness.targets[1].runs == [b'7']


@pytest.mark.parametrize('path', [b'/read/1', b'/book/1'])
def test_error_response_of_a_target_is_forwarded(make_harness, path):
    """A request that ran and failed is never reported as not run."""
    harness = make_harness(harness_module.respond_with_error)
    data, _ = harness.read_response(harness.send_request(path))
    assert data.startswith(b'HTTP/1.1 500')
    assert data.endswith(b'failed')
    assert harness.run_count == 1


def test_server_error_is_retried_at_another_target(make_harness):
    """A server error of one target is hidden by the success of another."""
    harness = make_harness(
        harness_module.respond_with_error, harness_module.respond_with_success
    )
    data, _ = harness.read_response(harness.send_request(b'/read/1'))
    assert data.startswith(b'HTTP/1.1 200')
    assert harness.run_count == 2


@pytest.mark.parametrize(
    'script',
    [
        harness_module.reset_connection,
        harness_module.cut_response,
        harness_module.respond_with_wrong_id,
    ],
)
def test_non_idempotent_request_runs_at_most_once(make_harness, script):
    """What may have run is not retried, nor reported as not run."""
    harness = make_harness(script, harness_module.respond_with_success)
    data, _ = harness.read_response(harness.send_request(b'/book/1'))
    assert data.startswith(b'HTTP/1.1 502')
    assert b'Retry-After' not in data
    assert harness.run_count == 1


def test_refused_non_idempotent_request_is_retried(make_harness):
    """Proof that a request has not run allows another attempt."""
    harness = make_harness(
        harness_module.refuse, harness_module.respond_with_success
    )
    data, _ = harness.read_response(harness.send_request(b'/book/1'))
    assert data.startswith(b'HTTP/1.1 200')
    assert harness.run_count == 1


def test_request_refused_by_all_targets_gets_retry_after(make_harness):
    """A request that no target runs is answered 503 with Retry-After."""
    harness = make_harness(harness_module.refuse, harness_module.refuse)
    data, _ = harness.read_response(
        harness.send_request(b'/book/1', time_left=b'0.8')
    )
    assert data.startswith(b'HTTP/1.1 503')
    assert b'Retry-After' in data
    assert harness.run_count == 0


def test_timeout_aborts_the_attempt(make_harness):
    """At the deadline the caller gets 504 and the target a disconnect."""
    harness = make_harness(harness_module.hang)
    data, _ = harness.read_response(
        harness.send_request(b'/book/1', time_left=b'0.1')
    )
    assert data.startswith(b'HTTP/1.1 504')
    harness.turn_until(lambda: harness.targets[0].disconnects)


def test_caller_disconnect_aborts_the_attempt(make_harness):
    """A caller's disconnect closes the connection to the target."""
    harness = make_harness(harness_module.hang)
    sock = harness.send_request(b'/talk/1')
    harness.turn_until(lambda: harness.run_count)
    sock.close()
    harness.turn_until(lambda: harness.targets[0].disconnects)
    assert not harness.forwarder.pending_count


def test_stream_cut_in_mid_event_is_resumed(make_harness):
    """A stream cut in mid-event is resumed without loss or repetition."""
    harness = make_harness(
        harness_module.cut_stream, harness_module.send_stream
    )
    sock = harness.send_request(b'/talk/1')
    harness.turn_until(lambda: hasattr(harness.targets[0], 'cut_exchange'))
    for _ in range(50):
        harness.reactor.call_later(0.001, lambda: None)
        harness.reactor.run_once()
    harness.targets[0].cut_exchange.abort()
    data, was_reset = harness.read_response(sock)
    assert not was_reset
    assert data.count(b'id: ') == 9
    assert [
        data.count(b'id: %d\n' % event_id) for event_id in range(1, 10)
    ] == [1] * 9


def test_stream_that_cannot_be_resumed_is_reset(make_harness):
    """A stream that can't be resumed is reset, never ended regularly."""
    harness = make_harness(harness_module.cut_stream)
    sock = harness.send_request(b'/talk/1')
    harness.turn_until(lambda: hasattr(harness.targets[0], 'cut_exchange'))
    for _ in range(50):
        harness.reactor.call_later(0.001, lambda: None)
        harness.reactor.run_once()
    harness.targets[0].cut_exchange.abort()
    data, was_reset = harness.read_response(sock)
    assert was_reset
    assert not data.endswith(b'0\r\n\r\n')


def test_stopping_process_responds_to_all_callers(make_harness):
    """Requests that still run when the process stops get a response."""
    harness = make_harness(harness_module.hang)
    sock = harness.send_request(b'/book/1')
    harness.turn_until(lambda: harness.run_count)
    harness.forwarder.stop_all()
    data, _ = harness.read_response(sock)
    assert data.startswith(b'HTTP/1.1 502')


def _start_streams(harness):
    """Start a stream at the first target, then one at the second."""
    stalled = harness.send_request(b'/talk/1')
    harness.turn_until(lambda: hasattr(harness.targets[0], 'cut_exchange'))
    harness.balancer.add_request('t2', 1)
    other = harness.send_request(b'/talk/2')
    harness.turn_until(lambda: hasattr(harness.targets[1], 'slow_exchange'))
    harness.balancer.remove_request('t2', 1)
    return stalled, other


def test_stalled_stream_goes_on_elsewhere(make_harness):
    """A stream that gets single bytes only is resumed at another target.

    The second target's stream has an event a second: it is slow but sound and
    stays where it is.
    """
    harness = make_harness(
        harness_module.stall_stream,
        harness_module.send_slowly,
        harness_module.send_stream,
    )
    stalled, other = _start_streams(harness)
    for _ in range(3):
        harness_module.advance(harness, 0.4)
        harness.targets[0].cut_exchange.write(b'x')
        harness_module.send_next_event(harness.targets[1])
    harness.turn_until(lambda: harness.targets[2].runs)
    data = bytearray()

    def is_complete():
        with contextlib.suppress(BlockingIOError):
            data.extend(stalled.recv(65536))
        return data.endswith(b'0\r\n\r\n')

    harness.turn_until(is_complete)
    counts = [data.count(b'id: %d\n' % number) for number in range(1, 10)]
    assert counts == [1] * 9
    assert len(harness.targets[1].runs) == 1
    stalled.close()
    other.close()


def test_standing_service_moves_no_stream(make_harness):
    """While all targets are silent no stream is started again elsewhere."""
    harness = make_harness(
        harness_module.stall_stream,
        harness_module.send_slowly,
        harness_module.send_stream,
    )
    stalled, other = _start_streams(harness)
    harness_module.advance(harness, 3.0)
    assert not harness.targets[2].runs
    assert harness.run_count == 2
    harness_module.send_next_event(harness.targets[1])
    harness.targets[0].cut_exchange.write(b'ta: x\n\n')
    harness_module.advance(harness, 0.8)
    assert harness.run_count == 2
    stalled.close()
    other.close()


def test_stalled_response_ends_at_the_timeout(make_harness):
    """A target that sends single bytes ends with the route's timeout."""
    harness = make_harness(harness_module.stall_stream)
    sock = harness.send_request(b'/talk/1')
    harness.turn_until(lambda: hasattr(harness.targets[0], 'cut_exchange'))
    for _ in range(60):
        harness_module.advance(harness, 0.1)
        with contextlib.suppress(AttributeError):
            harness.targets[0].cut_exchange.write(b'x')
    assert not harness.forwarder.pending_count
    data, was_reset = harness.read_response(sock)
    assert was_reset
    assert not data.endswith(b'0\r\n\r\n')


def test_endless_event_loses_no_whole_event(make_harness):
    """Whole events before one without an end reach the caller, once each."""
    harness = make_harness(
        harness_module.send_endless_event, harness_module.send_stream
    )
    data, was_reset = harness.read_response(harness.send_request(b'/talk/1'))
    assert not was_reset
    counts = [data.count(b'id: %d\n' % number) for number in range(1, 10)]
    assert counts == [1] * 9
    assert not harness.balancer.known.health.is_healthy(
        't0', harness.reactor.now()
    )
