"""Test what callers see while failure domains are evacuated.

The first target is in failure domain a, the others are in b.
"""

import contextlib

import pytest

from bambooring.forwarding.tests import harness as harness_module

# More than all targets take.
MANY = 50


@pytest.fixture
def make_harness():
    """Return a function that makes a forwarder with scripted targets."""
    with contextlib.ExitStack() as stack:
        yield lambda *scripts: harness_module.Harness(stack, *scripts)


def _evacuate(harness, *domains):
    """Apply evacuations, as the entry instance does."""
    harness.balancer.set_evacuated_domains(domains)
    harness.forwarder.dispatcher.dispatch_queued()


def _fill(harness):
    """Send requests that never end until one of them is queued."""
    socks = []
    while not harness.forwarder.dispatcher.count_queued():
        count = harness.forwarder.pending_count
        socks.append(harness.send_request(b'/book/x'))
        harness.turn_until(lambda: harness.forwarder.pending_count > count)
        assert count < MANY
    harness_module.advance(harness, 0.02, step=0.01)
    return socks


def test_queued_request_goes_elsewhere(make_harness):
    """A request that waits is sent to targets that are not evacuated."""
    harness = make_harness(harness_module.hang, harness_module.hang)
    _evacuate(harness, 'a')
    socks = _fill(harness)
    assert harness.targets[1].runs
    assert not harness.targets[0].runs
    before = len(harness.targets[1].runs)
    _evacuate(harness, 'b')
    harness.turn_until(lambda: harness.targets[0].runs)
    assert len(harness.targets[1].runs) == before
    for sock in socks:
        sock.close()


def test_everything_evacuated_is_refused_at_once(make_harness):
    """Callers don't wait for targets that no instance may use."""
    harness = make_harness(
        harness_module.respond_with_success,
        harness_module.respond_with_success,
    )
    _evacuate(harness, 'a', 'b')
    started_s = harness.reactor.now()
    data, _ = harness.read_response(harness.send_request(b'/read/x'))
    assert data.startswith(b'HTTP/1.1 503')
    assert b'no_target' in data
    assert b'retry-after' in data.lower()
    assert harness.reactor.now() - started_s < 0.2
    assert not harness.run_count


def test_queued_requests_are_refused_when_all_is_evacuated(make_harness):
    """Requests that wait don't do so until their callers give up."""
    harness = make_harness(harness_module.hang)
    *busy, waiting = _fill(harness)
    _evacuate(harness, 'a')
    data = bytearray()

    def receive():
        with contextlib.suppress(BlockingIOError):
            data.extend(waiting.recv(65536))
        return harness_module.is_complete(bytes(data))

    harness.turn_until(receive)
    assert data.startswith(b'HTTP/1.1 503')
    for sock in (*busy, waiting):
        sock.close()


def test_running_request_finishes(make_harness):
    """An evacuation doesn't cut what runs at the targets already."""
    harness = make_harness(harness_module.rest_then_hang)
    harness.targets[0].refused_s.append(0.0)
    sock = harness.send_request(b'/read/x')
    harness.turn_until(lambda: harness.targets[0].hanging)
    _evacuate(harness, 'a')
    (exchange,) = harness.targets[0].hanging
    exchange.respond(200, harness_module.make_headers(exchange), b'whole')
    data, _ = harness.read_response(sock)
    assert data.startswith(b'HTTP/1.1 200')


def test_cut_stream_is_not_resumed_in_an_evacuated_domain(make_harness):
    """A stream that breaks off goes on at a target that is left."""
    harness = make_harness(
        harness_module.send_stream, harness_module.cut_stream
    )
    _evacuate(harness, 'a')
    sock = harness.send_request(b'/talk/x')
    harness.turn_until(lambda: harness.run_count == 1)
    harness.targets[1].stop()
    _, was_reset = harness.read_response(sock)
    assert was_reset
    assert not harness.targets[0].runs


def test_withdrawn_evacuation_serves_again(make_harness):
    """A failure domain serves requests once its evacuation is withdrawn."""
    harness = make_harness(harness_module.respond_with_success)
    _evacuate(harness, 'a')
    data, _ = harness.read_response(harness.send_request(b'/read/x'))
    assert data.startswith(b'HTTP/1.1 503')
    _evacuate(harness)
    data, _ = harness.read_response(harness.send_request(b'/read/x'))
    assert data.startswith(b'HTTP/1.1 200')
