"""Test the order of service, and who is told to come back."""

import random
import types

import pytest

from bambooring.balancing import const as balancing_const
from bambooring.balancing import limit
from bambooring.balancing import state as balancing
from bambooring.forwarding import admission
from bambooring.forwarding import arrivals
from bambooring.forwarding import const
from bambooring.forwarding import ordering
from bambooring.forwarding import service_order


def _compute_key(*, is_started=False, now_s=10.0, **changes):
    values = {
        'urgency': 5,
        'is_returning': False,
        'first_received_s': now_s,
        'objective_s': 0.4,
        'deadline_s': 18.0,
        'route_key': 'r',
        'account_key': 'a',
    } | changes
    return ordering.compute_ordered_key(
        ordering.Standing(**values),
        is_response_started=is_started,
        now_s=now_s,
    )


LATE = {'first_received_s': 9.0}


@pytest.mark.parametrize(
    ('first', 'second'),
    [
        ({'is_started': True, 'urgency': 9}, {'urgency': 0}),
        ({'is_underserved': True, 'urgency': 9}, {'urgency': 0}),
        ({'urgency': 1} | LATE, {'urgency': 2, 'is_returning': True}),
        ({'is_size_underserved': True} | LATE, {}),
        ({'urgency': 1}, {'urgency': 2, 'is_size_underserved': True}),
        ({}, {'is_returning': True} | LATE),
        ({'is_returning': True}, {'deadline_s': 1.0}),
        ({'is_returning': True} | LATE, LATE | {'deadline_s': 1.0}),
        ({'deadline_s': 17.0}, {}),
    ],
)
def test_order(first, second):
    """The wrong one of two callers would get the next slot."""
    assert _compute_key(**first) < _compute_key(**second)


def _decide(**changes):
    values = {
        'slots': 300.0,
        'running': 300,
        'waiting': 10,
        'ahead': 10.0,
        'preferred_share': 0.0,
        'late_preferred_share': 0.0,
        'mean_duration_s': 1.5,
        'time_left_s': 8.0,
        'on_time_left_s': 0.2,
    } | changes
    return admission.decide(admission.Outlook(**values))


@pytest.mark.parametrize(
    ('changes', 'is_admitted'),
    [
        ({}, True),
        ({'ahead': 400.0, 'waiting': 400}, False),
        ({'preferred_share': 0.97, 'late_preferred_share': 0.97}, False),
        # It can be on time before later ones of its own class get ahead.
        ({'late_preferred_share': 0.97}, True),
        ({'ahead': 60.0, 'late_preferred_share': 0.97}, False),
        ({'time_left_s': 0.5}, False),
        ({'running': 149, 'waiting': 0, 'preferred_share': 1.0}, True),
        ({'slots': 0.0, 'running': 0}, True),
        ({'queue_limit_s': 0.0}, False),
    ],
)
def test_admission(changes, is_admitted):
    """A caller would wait in vain, or be refused though there is room."""
    assert _decide(**changes).is_admitted is is_admitted


@pytest.mark.parametrize('time_left_s', [0.3, 2.0, 8.0])
def test_retries_are_spread(time_left_s):
    """Retries would come at once, or after callers have given up."""
    waits_s = [
        admission.compute_retry_after_s(
            wait_s=9.0,
            mean_duration_s=1.0,
            time_left_s=time_left_s,
            draw=number / 10,
        )
        for number in range(11)
    ]
    assert waits_s == sorted(waits_s)
    assert waits_s[0] == const.RETRY_AFTER_MIN_S
    assert waits_s[-1] <= max(time_left_s / 3, const.RETRY_AFTER_MIN_S)
    assert len(set(waits_s)) > 10 or time_left_s < 1


def test_returning_callers_are_recognized():
    """Those that come back after a refusal would count as new."""
    tracker = arrivals.ArrivalTracker()
    for _ in range(const.QUANTILE_MIN_VALUES):
        assert not tracker.classify('r', 1, 8.1).is_returning
    assert tracker.classify('r', 1, 7.3).elapsed_s == pytest.approx(0.8)
    assert not tracker.classify('r', 1, 8.1).is_returning
    assert not tracker.classify('r', 1, None).is_returning


def test_unequal_time_limits_say_nothing():
    """New callers with a shorter time limit would count as late ones."""
    tracker = arrivals.ArrivalTracker()
    for number in range(100):
        traits = tracker.classify('r', 1, 4.0 + number % 5)
        assert not traits.is_returning


def test_sizes_are_classified():
    """The largest prompts would be counted among the usual ones."""
    tracker = arrivals.ArrivalTracker()
    sizes = [
        tracker.classify('r', number * 37 % 1000, None).size
        for number in range(2000)
    ][1000:]
    largest = sizes.count(arrivals.SizeClass.LARGEST)
    large = sizes.count(arrivals.SizeClass.LARGE)
    assert 60 <= largest <= 140
    assert 150 <= large <= 250


def _count_recovery_intervals(gap_s):
    concurrency = limit.ConcurrencyLimit()
    concurrency.restart()
    for count in range(100):
        if concurrency.max_requests == float('inf'):
            return count
        concurrency.add_gap(gap_s, 0.12)
        concurrency.close_interval()
        concurrency.adjust([concurrency.mean_gap_s], 5)
    return 100


def test_limit_recovers_fast_with_short_gaps():
    """After a standstill most slots would stay empty for 3 s."""
    intervals = _count_recovery_intervals(0.05)
    assert intervals * balancing_const.LIMIT_ADJUST_INTERVAL_S <= 1.5


def test_limit_recovers_slowly_with_longer_gaps():
    """Fast growth would make the gaps of all streams too long."""
    assert _count_recovery_intervals(0.07) >= 12


def test_backlog_of_a_lost_lease_goes_last():
    """Callers that were refused without a lease don't make new ones late.

    Pattern: all instances lose the control group, and their callers come back
    in the seconds after it is found again.
    """
    order = service_order.ServiceOrder(
        balancing.Balancer('a', random.Random(1)),
        lambda: None,
        random.Random(1),
    )
    order.backlog.record_own_outage_end(10.0)
    urgent_late, on_time = (
        ordering.Standing(
            urgency=urgency,
            is_returning=urgency == 0,
            first_received_s=first_received_s,
            objective_s=0.4,
            deadline_s=18.0,
            route_key='r',
            account_key='a',
        )
        for urgency, first_received_s in ((0, 7.0), (2, 10.0))
    )
    request = types.SimpleNamespace(
        service='llm',
        progress=types.SimpleNamespace(is_response_started=False),
    )

    def compute_key(standing, now_s):
        return order.compute_key(standing, request, now_s)

    assert compute_key(on_time, 10.0) < compute_key(urgent_late, 10.0)
    end_s = 10.0 + const.BACKLOG_S
    assert compute_key(urgent_late, end_s) < compute_key(on_time, end_s)
