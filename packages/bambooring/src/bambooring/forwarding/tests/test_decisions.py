"""Admit, order, retry and reject requests of each kind."""

import pytest

from bambooring.balancing import state as balancing
from bambooring.forwarding import const
from bambooring.forwarding import decisions
from bambooring.forwarding import messages
from bambooring.policy import messages as policy
from bambooring.policy import state as policy_state


def make_route(kind, *, is_resumable=False, max_attempts=2, **changes):
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
        'max_attempts': max_attempts,
        'is_anonymous': False,
        'is_resumable': is_resumable,
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
        prompt_tokens=100,
        prompt_parts=(),
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
    """Without a lease no request is denied: a newer policy may exist."""
    result = decisions.admit(TABLE, request_, has_lease=has_lease)
    actual_status = (
        result.status if isinstance(result, messages.ErrorResponse) else 0
    )
    assert actual_status == status


def test_admit_without_a_policy():
    """An instance without a policy tells callers to retry later."""
    result = decisions.admit(None, make_request(), has_lease=True)
    assert isinstance(result, messages.ErrorResponse)
    assert result.status == 503
    assert result.retry_after_s


def test_anonymous_route_needs_no_lease():
    """Without a key there is nothing that a newer policy could revoke."""
    table = make_table(
        make_route(policy.RouteKind.IDEMPOTENT, is_anonymous=True)
    )
    result = decisions.admit(table, make_request(key=None), has_lease=False)
    assert isinstance(result, decisions.Admission)
    assert result.account is None


IDEMPOTENT = make_route(policy.RouteKind.IDEMPOTENT)
NON_IDEMPOTENT = make_route(policy.RouteKind.NON_IDEMPOTENT, max_attempts=1)
STREAM = make_route(policy.RouteKind.STREAM)
RESUMABLE = make_route(policy.RouteKind.STREAM, is_resumable=True)


@pytest.mark.parametrize(
    ('route', 'attempt_count', 'refused_count', 'may_retry'),
    [
        (IDEMPOTENT, 1, 0, True),
        (IDEMPOTENT, 2, 0, False),
        (IDEMPOTENT, 2, 1, True),
        (NON_IDEMPOTENT, 1, 0, False),
        (NON_IDEMPOTENT, 1, 1, True),
        (NON_IDEMPOTENT, 2, 2, True),
        (NON_IDEMPOTENT, 6, 6, False),
        (NON_IDEMPOTENT, 2, 1, False),
        (STREAM, 1, 0, False),
        (STREAM, 1, 1, True),
        (RESUMABLE, 1, 0, True),
        (RESUMABLE, 2, 0, False),
    ],
)
def test_may_retry(route, attempt_count, refused_count, may_retry):
    """A request that may have run is retried only if its kind allows."""
    progress = decisions.Progress(
        attempt_count=attempt_count, refused_count=refused_count
    )
    assert decisions.may_retry(route, progress, 1.0) is may_retry
    assert not decisions.may_retry(route, progress, 0.0)


def test_error_is_503_only_if_request_has_not_run():
    """503 means that a request has not run; others get 502 or 504."""
    all_refused = decisions.Progress(attempt_count=2, refused_count=2)
    error_response = decisions.build_final_error(
        all_refused, const.Reason.TARGET_REFUSED, 0.4
    )
    assert (error_response.status, error_response.retry_after_s) == (503, 0.4)
    possibly_run = decisions.Progress(attempt_count=1, may_have_run=True)
    for reason in const.Reason:
        error_response = decisions.build_final_error(possibly_run, reason, 0.4)
        assert error_response.status in (502, 504)
        assert error_response.retry_after_s is None


def _make_capacity(slots=72, waiting=0):
    return balancing.ServiceCapacity(
        target_count=12,
        usable_target_count=12,
        slots=slots,
        running=slots,
        waiting_elsewhere=waiting,
    )


def test_request_is_rejected_if_the_queue_is_too_long():
    """A request waits for a short queue, and is rejected for a long one."""
    short_queue = decisions.estimate_wait(
        _make_capacity(), queued_ahead=0, mean_duration_s=1.5, time_left_s=8
    )
    assert short_queue.is_worthwhile
    long_queue = decisions.estimate_wait(
        _make_capacity(waiting=300),
        queued_ahead=10,
        mean_duration_s=1.5,
        time_left_s=8,
    )
    assert not long_queue.is_worthwhile
    assert long_queue.retry_after_s <= const.RETRY_AFTER_MAX_S


def test_requests_wait_while_a_group_is_broken():
    """While a group is broken a request waits until it is too late."""
    group_broken = decisions.estimate_wait(
        _make_capacity(),
        queued_ahead=9,
        mean_duration_s=1.0,
        time_left_s=8,
        is_group_broken=True,
    )
    assert group_broken.is_worthwhile
    assert group_broken.limit_s == 7.5
    near_deadline = decisions.estimate_wait(
        _make_capacity(),
        queued_ahead=0,
        mean_duration_s=1.0,
        time_left_s=0.4,
        is_group_broken=True,
    )
    assert not near_deadline.is_worthwhile


def test_caller_with_time_left_is_told_to_retry_later():
    """A caller with most of its time left retries; its retry waits."""
    progress = decisions.Progress()
    timeout_s = RESUMABLE.timeout_s
    assert decisions.should_retry_later(RESUMABLE, progress, timeout_s)
    remaining_s = timeout_s * (1 - const.OUTAGE_RETRY_AFTER_SHARE)
    assert not decisions.should_retry_later(RESUMABLE, progress, remaining_s)
    response_started = decisions.Progress(is_response_started=True)
    assert not decisions.should_retry_later(
        RESUMABLE, response_started, timeout_s
    )
    possibly_run = decisions.Progress(may_have_run=True)
    assert not decisions.should_retry_later(RESUMABLE, possibly_run, timeout_s)


def test_no_wait_near_the_deadline():
    """A request whose deadline is near is rejected at once."""
    near_deadline = decisions.estimate_wait(
        _make_capacity(), queued_ahead=0, mean_duration_s=1.5, time_left_s=0.5
    )
    assert not near_deadline.is_worthwhile


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


def _simulate_overload(per_second, slots_per_second, seconds):
    """Queue more requests than are served; return the waits of the served.

    :param per_second: how many requests arrive in a second
    :param slots_per_second: how many are served in a second
    :param seconds: the duration of the overload
    """
    waits = []
    queue = []
    for step in range(seconds * per_second):
        now_s = step / per_second
        queue.append(now_s)
        if step % per_second < slots_per_second:
            queue.sort(
                key=lambda queued_s: _compute_queue_key(queued_s, now_s=now_s)
            )
            waits.append(now_s - queue.pop(0))
    return waits


def test_overload_keeps_most_served_requests_on_time():
    """During an overload, 90% of the requests served are on time."""
    waits = _simulate_overload(per_second=40, slots_per_second=30, seconds=10)
    allowed_s = RESUMABLE.first_byte_objective_s * const.LATE_OBJECTIVE_SHARE
    on_time = sum(wait <= allowed_s for wait in waits)
    assert on_time >= 0.9 * len(waits)


def test_started_stream_goes_first():
    """A caller that has a part of a stream goes before all others."""
    assert _compute_queue_key(
        9, now_s=10, is_response_started=True
    ) < _compute_queue_key(1, now_s=10)


def test_priority_is_worth_some_waiting():
    """A higher priority goes first, but a long wait outweighs it."""
    step_s = const.ACCOUNT_PRIORITY_STEP_S
    now_s = 20.0
    high_priority = _compute_queue_key(now_s, now_s=now_s, priority=0)
    assert high_priority < _compute_queue_key(
        now_s - step_s / 2, now_s=now_s, priority=1
    )
    slow_route = _make_slow_route(10.0)
    low_priority = _compute_queue_key(
        now_s - 2 * step_s, now_s=now_s, priority=1, route=slow_route
    )
    assert low_priority < _compute_queue_key(
        now_s, now_s=now_s, priority=0, route=slow_route
    )


def _make_slow_route(first_byte_objective_s):
    """Return a route whose requests become late only after a long wait."""
    return make_route(
        policy.RouteKind.IDEMPOTENT,
        first_byte_objective_s=first_byte_objective_s,
    )


def _get_retry_after_s(draw):
    """Return when a caller of an instance without a policy should retry."""
    result = decisions.admit(None, make_request(), has_lease=False, draw=draw)
    assert isinstance(result, messages.ErrorResponse)
    assert result.retry_after_s is not None
    return result.retry_after_s


def test_retries_at_instances_that_started_are_spread():
    """After a loss of power all callers would come back in one moment."""
    assert _get_retry_after_s(1.0) - _get_retry_after_s(0.0) >= 1.0
