"""Decide on requests of each kind after each way to fail."""

import pytest

from bambooring.balancing import state as balancing
from bambooring.forwarding import const
from bambooring.forwarding import decisions
from bambooring.forwarding import messages
from bambooring.policy import messages as policy
from bambooring.policy import state as policy_state


def make_route(kind, *, resumable=False, attempts=2, **changes):
    """Return a route of a kind."""
    values = {
        'name': 'r',
        'host': 'h',
        'path_prefix': '/a/',
        'kind': kind,
        'services': [policy.WeightedService(service='app', weight=1)],
        'timeout_s': 8.0,
        'first_byte_objective_s': 0.5,
        'priority': 1,
        'max_attempts': attempts,
        'is_anonymous': False,
        'is_resumable': resumable,
        'max_event_gap_s': 0.12,
    } | changes
    return policy.Route(**values)


def make_request(key='k', path='/a/b'):
    """Return a caller's request."""
    return messages.CallerRequest(
        attempt_id='1',
        method='POST',
        request_target=path,
        host='h',
        path=path,
        api_key=key,
        time_left_s=8.0,
        last_event_id=None,
        tokens=100,
        headers=[],
        body=b'',
    )


def make_table(route):
    """Return a policy with one route and one account."""
    return policy_state.PolicyTable(
        policy.Policy(
            version=3,
            routes=[route],
            services=[],
            accounts=[policy.Account(name='t', keys=['k'], priority=1)],
            limits=policy.CallerLimits(
                max_header_bytes=1,
                max_body_bytes=1,
                header_timeout_s=1,
                idle_timeout_s=1,
            ),
        )
    )


TABLE = make_table(make_route(policy.RouteKind.IDEMPOTENT))


@pytest.mark.parametrize(
    ('request_', 'has_lease', 'status'),
    [
        (make_request(), True, 0),
        (make_request(), False, 503),
        (make_request(key='x'), True, 401),
        (make_request(key=None), True, 401),
        (make_request(key='x'), False, 503),
        (make_request(path='/b/'), True, 404),
        (make_request(path='/b/'), False, 503),
    ],
)
def test_admit(request_, has_lease, status):
    """Nothing is denied by a policy that may have been replaced."""
    result = decisions.admit(TABLE, request_, has_lease=has_lease)
    found = result.status if isinstance(result, messages.ErrorResponse) else 0
    assert found == status


def test_admit_without_a_policy():
    """An instance that knows no policy yet denies nothing."""
    result = decisions.admit(None, make_request(), has_lease=True)
    assert isinstance(result, messages.ErrorResponse)
    assert result.status == 503
    assert result.retry_after_s


def test_anonymous_route_needs_no_lease():
    """Without a key there is nothing that could have been taken away."""
    table = make_table(
        make_route(policy.RouteKind.IDEMPOTENT, is_anonymous=True)
    )
    result = decisions.admit(table, make_request(key=None), has_lease=False)
    assert isinstance(result, decisions.Admission)
    assert result.account is None


IDEMPOTENT = make_route(policy.RouteKind.IDEMPOTENT)
BOOKING = make_route(policy.RouteKind.NON_IDEMPOTENT, attempts=1)
STREAM = make_route(policy.RouteKind.STREAM)
RESUMABLE = make_route(policy.RouteKind.STREAM, resumable=True)


@pytest.mark.parametrize(
    ('route', 'attempt_count', 'refused_count', 'may_retry'),
    [
        (IDEMPOTENT, 1, 0, True),
        (IDEMPOTENT, 2, 0, False),
        (IDEMPOTENT, 2, 1, True),
        (BOOKING, 1, 0, False),
        (BOOKING, 1, 1, True),
        (BOOKING, 2, 2, True),
        (BOOKING, 6, 6, False),
        (BOOKING, 2, 1, False),
        (STREAM, 1, 0, False),
        (STREAM, 1, 1, True),
        (RESUMABLE, 1, 0, True),
        (RESUMABLE, 2, 0, False),
    ],
)
def test_may_retry(route, attempt_count, refused_count, may_retry):
    """What may have run is repeated only where its kind allows it."""
    progress = decisions.Progress(
        attempt_count=attempt_count, refused_count=refused_count
    )
    assert decisions.may_retry(route, progress, 1.0) is may_retry
    assert not decisions.may_retry(route, progress, 0.0)


def test_conclude_promises_only_what_is_proved():
    """503 says that a request has not run; what may have run gets no 503."""
    fresh = decisions.Progress(attempt_count=2, refused_count=2)
    refusal = decisions.build_final_error(
        fresh, const.Reason.TARGET_REFUSED, 0.4
    )
    assert (refusal.status, refusal.retry_after_s) == (503, 0.4)
    sent = decisions.Progress(attempt_count=1, may_have_run=True)
    for reason in const.Reason:
        refusal = decisions.build_final_error(sent, reason, 0.4)
        assert refusal.status in (502, 504)
        assert refusal.retry_after_s is None


def _make_capacity(slots=72, waiting=0):
    return balancing.ServiceCapacity(
        targets=12,
        usable_targets=12,
        slots=slots,
        running=slots,
        waiting_elsewhere=waiting,
    )


def test_wait_grows_with_the_queue():
    """A request waits while that is worth it, and is refused beyond."""
    short = decisions.estimate_wait(
        _make_capacity(), queued_ahead=0, mean_duration_s=1.5, time_left_s=8
    )
    assert short.is_worthwhile
    long = decisions.estimate_wait(
        _make_capacity(waiting=300),
        queued_ahead=10,
        mean_duration_s=1.5,
        time_left_s=8,
    )
    assert not long.is_worthwhile
    assert long.retry_after_s <= const.RETRY_AFTER_MAX_S


def test_outage_is_waited_out():
    """While a group is down a request waits for as long as it can run."""
    out = decisions.estimate_wait(
        _make_capacity(),
        queued_ahead=9,
        mean_duration_s=1.0,
        time_left_s=8,
        is_group_broken=True,
    )
    assert out.is_worthwhile
    assert out.limit_s == 7.5
    late = decisions.estimate_wait(
        _make_capacity(),
        queued_ahead=0,
        mean_duration_s=1.0,
        time_left_s=0.4,
        is_group_broken=True,
    )
    assert not late.is_worthwhile


def test_caller_is_told_of_an_outage_at_once():
    """With most of its time left it comes back; who came back waits."""
    progress = decisions.Progress()
    timeout_s = RESUMABLE.timeout_s
    assert decisions.should_retry_later(RESUMABLE, progress, timeout_s)
    left_s = timeout_s * (1 - const.OUTAGE_RETRY_AFTER_SHARE)
    assert not decisions.should_retry_later(RESUMABLE, progress, left_s)
    begun = decisions.Progress(is_response_started=True)
    assert not decisions.should_retry_later(RESUMABLE, begun, timeout_s)
    run = decisions.Progress(may_have_run=True)
    assert not decisions.should_retry_later(RESUMABLE, run, timeout_s)


def test_no_wait_without_time():
    """A request whose deadline is near is refused at once."""
    late = decisions.estimate_wait(
        _make_capacity(), queued_ahead=0, mean_duration_s=1.5, time_left_s=0.5
    )
    assert not late.is_worthwhile


def _compute_queue_key(
    received_s,
    *,
    now_s,
    priority=1,
    is_response_started=False,
    route=RESUMABLE,
):
    return decisions.compute_queue_key(
        route,
        policy.Account(name='t', keys=[], priority=priority),
        received_s=received_s,
        is_response_started=is_response_started,
        now_s=now_s,
    )


def _serve_crest(per_second, slots_per_second, seconds):
    """Let more requests come than are served; return each one's wait."""
    waits = []
    queue = []
    for turn in range(seconds * per_second):
        now_s = turn / per_second
        queue.append(now_s)
        if turn % per_second < slots_per_second:
            queue.sort(key=lambda one: _compute_queue_key(one, now_s=now_s))
            waits.append(now_s - queue.pop(0))
    return waits


def test_crest_keeps_most_on_time():
    """While more come than can be served, those served are on time."""
    waits = _serve_crest(per_second=40, slots_per_second=30, seconds=10)
    allowed_s = RESUMABLE.first_byte_objective_s * const.LATE_OBJECTIVE_SHARE
    on_time = sum(wait <= allowed_s for wait in waits)
    assert on_time >= 0.9 * len(waits)


def test_started_stream_goes_first():
    """A caller that has a part of a stream waits for nobody."""
    assert _compute_queue_key(
        9, now_s=10, is_response_started=True
    ) < _compute_queue_key(1, now_s=10)


def test_priority_is_worth_some_waiting():
    """A higher priority goes first, but not for ever."""
    step_s = const.ACCOUNT_PRIORITY_STEP_S
    now_s = 20.0
    urgent = _compute_queue_key(now_s, now_s=now_s, priority=0)
    assert urgent < _compute_queue_key(
        now_s - step_s / 2, now_s=now_s, priority=1
    )
    slow = _make_patient_route(10.0)
    patient = _compute_queue_key(
        now_s - 2 * step_s, now_s=now_s, priority=1, route=slow
    )
    assert patient < _compute_queue_key(
        now_s, now_s=now_s, priority=0, route=slow
    )


def _make_patient_route(first_byte_objective_s):
    """Return a route whose requests are not late for long."""
    return make_route(
        policy.RouteKind.IDEMPOTENT,
        first_byte_objective_s=first_byte_objective_s,
    )
