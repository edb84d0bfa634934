"""Send requests to targets that ask for rests."""

import contextlib

import pytest

from bambooring.forwarding.tests import harness as harness_module

PATHS = [b'/read/1', b'/book/1', b'/talk/1']


@pytest.fixture
def make_harness():
    """Make a harness with a target for each script."""
    with contextlib.ExitStack() as stack:
        yield lambda *scripts: harness_module.Harness(stack, *scripts)


def _ask(harness, path=b'/read/1', attempt_id=b'7', **request):
    """Send a request; return its status and its response."""
    sock = harness.send_request(path, attempt_id=attempt_id, **request)
    data, _ = harness.read_response(sock)
    return data.split(b' ')[1], data


def _get_retry_after_s(data):
    head = data.lower().partition(b'\r\n\r\n')[0]
    return float(head.split(b'retry-after: ')[1].split(b'\r\n')[0])


def _run(harness, turns=20):
    """Run the reactor for some turns."""
    for _ in range(turns):
        harness.reactor.call_later(0.001, lambda: None)
        harness.reactor.run_once()


# A target that had asked for three seconds of rest got a request each time it
# had the least load, dozens in that time.
@pytest.mark.parametrize('path', PATHS)
def test_resting_target_gets_no_request_while_another_serves(
    make_harness, path
):
    """Each caller is served, and only the first one finds out."""
    serve = (
        harness_module.send_stream
        if path == b'/talk/1'
        else harness_module.respond_with_success
    )
    harness = make_harness(harness_module.ask_for_rest, serve)
    for number in range(12):
        status, _ = _ask(harness, path, b'%d' % number)
        assert status == b'200'
        harness_module.advance(harness, 0.2)
    assert harness.targets[0].refusals == 1
    assert len(harness.targets[1].runs) == 12


# Requests of an eleven-second day reached a target up to 26 times.
def test_many_requests_over_several_rests_cost_one_request_a_rest(
    make_harness,
):
    """Several requests at once, over three rests, and none in any of them."""
    harness = make_harness(
        harness_module.ask_for_rest,
        harness_module.ask_for_rest,
        harness_module.respond_with_success,
    )
    for number in range(45):
        socks = [
            harness.send_request(
                b'/read/1', attempt_id=b'%d-%d' % (number, index)
            )
            for index in range(3)
        ]
        for sock in socks:
            data, _ = harness.read_response(sock)
            assert data.startswith(b'HTTP/1.1 200')
        harness_module.advance(harness, 0.2)
    for target in harness.targets[:2]:
        # The first requests are under way together, before it has answered.
        gaps_s = [
            later - earlier
            for earlier, later in zip(
                target.refused_s, target.refused_s[1:], strict=False
            )
        ]
        assert not [gap_s for gap_s in gaps_s if 0.5 < gap_s < 3.0]
        assert target.refusals <= 3 + 4


# Three refusals in a row paused a service with sound targets.
@pytest.mark.parametrize('path', PATHS[:2])
def test_rests_of_some_targets_do_not_pause_their_service(make_harness, path):
    """Not even more of them than may refuse a request as busy."""
    harness = make_harness(
        *[harness_module.ask_for_rest] * 8, harness_module.respond_with_success
    )
    started_s = harness.reactor.now()
    assert _ask(harness, path)[0] == b'200'
    assert harness.reactor.now() - started_s < 0.3
    assert sum(target.refusals for target in harness.targets) == 8


# Callers of a service whose targets all rest were kept, or told to come back
# while they still rested.
@pytest.mark.parametrize('path', PATHS)
def test_caller_is_told_when_the_first_resting_target_is_back(
    make_harness, path
):
    """At once, and the next one without a request to any target."""
    harness = make_harness(*[harness_module.ask_for_rest] * 2)
    harness.targets[1].rest = b'2.5'
    for number in range(5):
        status, data = _ask(harness, path, b'%d' % number)
        assert status == b'503'
        assert data.endswith(b'targets_rest\n')
        assert 2.0 < _get_retry_after_s(data) < 3.2
    assert [target.refusals for target in harness.targets] == [1, 1]


def test_callers_are_told_different_times(make_harness):
    """So they don't all come back at the same moment."""
    harness = make_harness(harness_module.ask_for_rest)
    times_s = {
        _get_retry_after_s(_ask(harness, attempt_id=b'%d' % number)[1])
        for number in range(8)
    }
    assert max(times_s) - min(times_s) > 0.1


def test_request_waits_for_the_end_of_a_short_rest(make_harness):
    """It is served sooner than if its caller had been sent away."""
    harness = make_harness(harness_module.rest_once)
    harness.targets[0].rest = b'0.2'
    sock = harness.send_request(b'/book/1')
    harness.turn_until(lambda: harness.targets[0].refusals)
    _run(harness)
    assert harness.forwarder.pending_count == 1
    harness_module.advance(harness, 0.3)
    assert harness.read_response(sock)[0].startswith(b'HTTP/1.1 200')


def test_queued_requests_are_told_when_the_last_target_rests(make_harness):
    """They wait for one that serves, until that one asks for a rest too."""
    harness = make_harness(
        harness_module.ask_for_rest, harness_module.hang_then_rest
    )
    harness.targets[0].rest = b'60'
    harness.targets[1].rest = b'60'
    socks = [
        harness.send_request(b'/book/1', attempt_id=b'%d' % number)
        for number in range(5)
    ]
    harness.turn_until(lambda: len(harness.targets[1].runs) == 5)
    queued = harness.send_request(b'/book/1', attempt_id=b'queued')
    harness.turn_until(lambda: harness.forwarder.dispatcher.count_queued())
    harness.targets[1].is_resting = True
    socks.pop(0).close()
    data, _ = _read_one(harness, queued)
    assert data.startswith(b'HTTP/1.1 503')
    assert data.endswith(b'targets_rest\n')
    assert harness.targets[0].refusals <= 5
    assert harness.targets[1].refusals == 1


def _read_one(harness, sock):
    """Return one response while other requests are pending."""
    data = bytearray()

    def receive():
        with contextlib.suppress(BlockingIOError):
            data.extend(sock.recv(65536))
        return harness_module.is_complete(bytes(data))

    harness.turn_until(receive)
    return bytes(data), False


# A stream was cut though the target that could go on was back in a second.
def test_resumed_stream_waits_for_the_end_of_a_rest(make_harness):
    """What the caller has of a stream can't be refused."""
    harness = make_harness(harness_module.rest_once, harness_module.cut_stream)
    harness.targets[0].rest = b'1'
    sock = harness.send_request(b'/talk/1')
    harness.turn_until(lambda: harness.targets[1].runs)
    harness.targets[1].cut_exchange.abort()
    harness.turn_until(lambda: harness.forwarder.dispatcher.count_queued())
    harness_module.advance(harness, 0.8)
    assert not harness.targets[0].runs
    harness_module.advance(harness, 0.4)
    data, was_reset = harness.read_response(sock)
    assert not was_reset
    assert data.count(b'id: ') == 9
    assert harness.targets[0].runs == [b'7']


def test_retried_request_that_may_have_run_waits_for_the_end_of_a_rest(
    make_harness,
):
    """It can't be refused, so it is served late rather than failed."""
    harness = make_harness(
        harness_module.rest_once, harness_module.reset_connection
    )
    harness.targets[0].rest = b'1.5'
    sock = harness.send_request(b'/read/1')
    harness.turn_until(lambda: harness.forwarder.dispatcher.count_queued())
    harness_module.advance(harness, 1.3)
    assert not harness.targets[0].runs
    harness_module.advance(harness, 0.4)
    assert harness.read_response(sock)[0].startswith(b'HTTP/1.1 200')


# Requests that no target could serve in time were held until that was over.
@pytest.mark.parametrize('path', [b'/read/1', b'/talk/1'])
def test_request_fails_at_once_if_a_rest_outlasts_its_caller(
    make_harness, path
):
    """It may have run or begun, so it isn't reported as not run."""
    script = (
        harness_module.cut_stream
        if path == b'/talk/1'
        else harness_module.reset_connection
    )
    harness = make_harness(harness_module.ask_for_rest, script)
    harness.targets[0].rest = b'60'
    sock = harness.send_request(path)
    harness.turn_until(lambda: harness.targets[1].runs)
    if path == b'/talk/1':
        harness.targets[1].cut_exchange.abort()
    started_s = harness.reactor.now()
    harness.turn_until(lambda: not harness.forwarder.pending_count)
    assert harness.reactor.now() - started_s < 0.5
    data = sock.recv(65536)
    assert b' 503 ' not in data
    sock.close()


# At the end of a rest all that had waited reached the target at once.
def test_one_request_probes_a_target_after_its_rest(make_harness):
    """The others go to it once it has begun to answer."""
    harness = make_harness(
        harness_module.rest_then_hang, harness_module.respond_with_success
    )
    _ask(harness)
    harness_module.advance(harness, 3.1)
    probe = harness.send_request(b'/read/1', attempt_id=b'probe')
    harness.turn_until(lambda: harness.targets[0].runs)
    for number in range(6):
        data, _ = _read_one(
            harness,
            harness.send_request(b'/read/1', attempt_id=b'%d' % number),
        )
        assert data.startswith(b'HTTP/1.1 200')
    assert harness.targets[0].runs == [b'probe']
    harness.targets[0].script = harness_module.respond_with_success
    harness.targets[0].hanging.pop().respond(
        200, [(b'Id', b'probe'), (b'Signed', b'1')], b'whole'
    )
    assert harness.read_response(probe)[0].endswith(b'whole')
    for number in range(4):
        _ask(harness, attempt_id=b'later%d' % number)
    assert len(harness.targets[0].runs) > 1


# Probes of many resting targets spent the retries, and callers were refused.
def test_no_probe_without_a_retry_to_spare(make_harness):
    """Callers are served by the others, as if the targets still rested."""
    harness = make_harness(
        harness_module.ask_for_rest, harness_module.respond_with_success
    )
    assert _ask(harness)[0] == b'200'
    while harness.forwarder.spend_retry('test'):
        pass
    for number in range(10):
        harness_module.advance(harness, 1.0)
        assert _ask(harness, attempt_id=b'%d' % number)[0] == b'200'
    assert harness.targets[0].refusals == 1


# A request was refused by each resting target in turn, and then given up.
def test_refused_request_goes_to_a_target_that_serves_others(make_harness):
    """The first one to meet them all spares the targets without load."""
    harness = make_harness(
        *[harness_module.ask_for_rest] * 6, harness_module.hang
    )
    harness.balancer.add_request('t6', 1)
    sock = harness.send_request(b'/read/1')
    harness.turn_until(lambda: harness.targets[6].runs)
    assert sum(target.refusals for target in harness.targets) == 1
    sock.close()


def test_restarted_targets_do_not_rest(make_harness):
    """The rest of an earlier run isn't the new run's."""
    harness = make_harness(harness_module.rest_once)
    harness.targets[0].rest = b'60'
    assert _ask(harness)[0] == b'503'
    harness.restart_targets()
    assert _ask(harness)[0] == b'200'


def test_rest_in_a_server_error_counts(make_harness):
    """It need not prove that the request has not run."""
    harness = make_harness(
        harness_module.fail_and_ask_for_rest,
        harness_module.respond_with_success,
    )
    for number in range(6):
        assert _ask(harness, attempt_id=b'%d' % number)[0] == b'200'
    assert harness.targets[0].refusals == 1


@pytest.mark.parametrize(
    'script',
    [
        harness_module.answer_another_with_a_rest,
        harness_module.refuse_as_too_many,
    ],
)
def test_what_begins_no_rest(make_harness, script):
    """A response to another request, or 429, which is a caller's matter."""
    harness = make_harness(script, harness_module.respond_with_success)
    assert _ask(harness)[0] == b'200'
    capacity = harness.balancer.get_rest_wait_s(
        'app', harness.reactor.now(), ['t1']
    )
    assert capacity is None


# A target's failure while it rested led to more requests to it.
def test_target_that_rests_and_loses_a_stream_gets_no_request(make_harness):
    """Neither as a retry nor as a fallback once all have failed."""
    harness = make_harness(
        harness_module.stream_then_rest, harness_module.reset_connection
    )
    harness.targets[0].rest = b'60'
    sock = harness.send_request(b'/talk/1', attempt_id=b'running')
    harness.turn_until(lambda: harness.targets[0].runs)
    _run(harness)
    _read_one_status(harness, b'/read/1')
    harness.targets[0].cut_exchange.abort()
    for number in range(4):
        _read_one_status(harness, b'/read/1', b'%d' % number)
        harness_module.advance(harness, 0.5)
    sock.close()
    assert harness.targets[0].refusals == 1
    assert harness.targets[0].runs == [b'running']


def _read_one_status(harness, path, attempt_id=b'7'):
    sock = harness.send_request(path, attempt_id=attempt_id)
    _run(harness, 40)
    sock.close()
    _run(harness, 5)


def _rest_beside_two_under_way(target, exchange):
    """Keep two requests, ask one for a rest, and run the others."""
    if exchange.request.get(b'id') in (b'earlier', b'probe'):
        target.hanging.append(exchange)
    elif not target.refusals:
        harness_module.ask_for_rest(target, exchange)
    else:
        harness_module.respond_with_success(target, exchange)


# Requests reached a target in a rest that it had begun beside a probe.
def test_answer_to_a_probe_does_not_end_a_rest_begun_since(make_harness):
    """An earlier request is refused while the probe is under way."""
    harness = make_harness(
        _rest_beside_two_under_way, harness_module.respond_with_success
    )
    resting = harness.targets[0]
    for _ in range(3):
        harness.balancer.add_request('t1', 1)
    socks = [harness.send_request(b'/book/1', attempt_id=b'earlier')]
    harness.turn_until(lambda: resting.hanging)
    resting.rest = b'1'
    socks.append(harness.send_request(b'/book/2', attempt_id=b'other'))
    harness.turn_until(lambda: resting.refusals)
    harness_module.advance(harness, 1.2)
    socks.append(harness.send_request(b'/book/3', attempt_id=b'probe'))
    harness.turn_until(lambda: len(resting.hanging) == 2)
    resting.rest = b'3'
    harness_module.ask_for_rest(resting, resting.hanging[0])
    harness.turn_until(lambda: harness.forwarder.pending_count == 1)
    resting.hanging[1].respond(
        200, [(b'Id', b'probe'), (b'Signed', b'1')], b'whole'
    )
    harness.turn_until(lambda: not harness.forwarder.pending_count)
    harness_module.advance(harness, 0.6)
    for number in range(6):
        assert _ask(harness, attempt_id=b'%d' % number)[0] == b'200'
    assert not resting.runs
    for sock in socks:
        sock.close()


def _cut_first(target, exchange):
    """Cut the stream of one request; run the others to their end."""
    if not target.runs:
        harness_module.cut_stream(target, exchange)
    elif exchange.request.target.startswith('/talk/'):
        harness_module.send_stream(target, exchange)
    else:
        harness_module.respond_with_success(target, exchange)


# A stream that waited for a rest held up all that other targets could run.
@pytest.mark.parametrize('path', [b'/read/2', b'/book/2', b'/talk/2'])
def test_stream_that_waits_for_a_rest_holds_up_no_others(make_harness, path):
    """Its own remaining target rests; theirs is idle."""
    harness = make_harness(harness_module.ask_for_rest, _cut_first)
    harness.targets[0].rest = b'1.4'
    first = harness.send_request(b'/talk/1', attempt_id=b'1')
    harness.turn_until(lambda: harness.targets[1].runs)
    harness.targets[1].cut_exchange.abort()
    harness.turn_until(lambda: harness.forwarder.dispatcher.count_queued())
    harness_module.advance(harness, 0.6)
    second = harness.send_request(path, attempt_id=b'2')
    harness_module.advance(harness, 0.2)
    runs = list(harness.targets[1].runs)
    first.close()
    second.close()
    assert runs == [b'1', b'2']


# A refusal with a rest of a millisecond was repeated as fast as it came.
def test_rest_of_a_moment_is_no_shorter_than_a_refusal_without_one(
    make_harness,
):
    """The target isn't asked more often than a busy one."""
    harness = make_harness(harness_module.ask_for_rest)
    harness.targets[0].rest = b'0.001'
    sock = harness.send_request(b'/read/1')
    harness.read_response(sock)
    gaps_s = [
        later - earlier
        for earlier, later in zip(
            harness.targets[0].refused_s,
            harness.targets[0].refused_s[1:],
            strict=False,
        )
    ]
    assert not [gap_s for gap_s in gaps_s if gap_s < 0.1], gaps_s
