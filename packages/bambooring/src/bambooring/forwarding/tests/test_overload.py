"""Order a queue during a long overload.

For many seconds more requests arrive than can run, from a few large client
accounts and a small one, of equal and of unequal priority. The order may
depend on priority and age, but no account or route may starve: each one's
share of served requests is at least a quarter of the share over all.
"""

import random

import pytest

from bambooring.forwarding import decisions
from bambooring.forwarding import fairness
from bambooring.policy import messages as policy

DURATION_S = 20.0
STEP_S = 0.01
CAPACITY_PER_S = 60.0
MAX_WAIT_S = 1.2
MIN_SERVED_FRACTION = 0.25


def _make_route(priority):
    return policy.Route(
        name='r',
        host='h',
        path_prefix='/',
        kind=policy.RouteKind.STREAM,
        services=[],
        timeout_s=8.0,
        first_byte_objective_s=0.5,
        priority=priority,
        max_attempts=2,
        is_anonymous=False,
        is_resumable=True,
        max_event_gap_s=0.12,
    )


def _simulate_overload(load, demands, route_priorities, account_priorities):
    """Return the served fraction of each source's requests, and of all.

    A source is a client account that sends requests to one route.

    :param load: the total demand as a multiple of the capacity
    :param demands: the relative demand of each source
    :param route_priorities: the priority of each source's route
    :param account_priorities: the priority of each source's account
    """
    rng = random.Random(1)
    routes_and_accounts = [
        (
            _make_route(route_priority),
            policy.Account(
                name=str(number), keys=[], priority=account_priority
            ),
        )
        for number, (route_priority, account_priority) in enumerate(
            zip(route_priorities, account_priorities, strict=True)
        )
    ]
    received, served = [0] * len(demands), [0] * len(demands)
    queue: list[tuple[float, int]] = []
    tracker = fairness.FairnessTracker()
    free_slots = arrivals_due = 0.0
    for step in range(round(DURATION_S / STEP_S)):
        now_s = step * STEP_S
        arrivals_due += load * CAPACITY_PER_S * STEP_S
        while arrivals_due >= 1:
            arrivals_due -= 1
            source = rng.choices(range(len(demands)), demands)[0]
            received[source] += 1
            queue.append((now_s, source))
        free_slots = min(free_slots + CAPACITY_PER_S * STEP_S, 2.0)
        for queued in list(queue):
            if now_s - queued[0] >= MAX_WAIT_S:
                queue.remove(queued)
                tracker.record_result(
                    [str(queued[1])], is_served=False, now_s=now_s
                )

        def get_queue_key(queued, now_s=now_s):
            route, account = routes_and_accounts[queued[1]]
            return decisions.compute_queue_key(
                route,
                account,
                received_s=queued[0],
                is_response_started=False,
                now_s=now_s,
                is_underserved=tracker.is_underserved([str(queued[1])]),
            )

        queue.sort(key=get_queue_key)
        while queue and free_slots >= 1:
            source = queue.pop(0)[1]
            served[source] += 1
            tracker.record_result([str(source)], is_served=True, now_s=now_s)
            free_slots -= 1
    served_fractions = [
        served_count / received_count
        for served_count, received_count in zip(served, received, strict=True)
    ]
    return served_fractions, sum(served) / sum(received)


@pytest.mark.parametrize('load', [1.3, 2.0, 3.0])
def test_equal_priorities_are_served_alike(load):
    """A small account is served like the large ones beside it."""
    served_fractions, total_fraction = _simulate_overload(
        load, (6, 3, 1), (1, 1, 1), (1, 1, 1)
    )
    assert min(served_fractions) >= 0.8 * total_fraction


@pytest.mark.parametrize('load', [1.3, 2.0, 3.0])
def test_lower_priority_accounts_are_served(load):
    """Accounts of a lower priority are served less, but not starved."""
    served_fractions, total_fraction = _simulate_overload(
        load, (5, 3, 2), (1, 1, 1), (0, 1, 2)
    )
    assert min(served_fractions) >= MIN_SERVED_FRACTION * total_fraction


@pytest.mark.parametrize('load', [1.3, 2.0, 3.0])
def test_lower_priority_routes_are_served(load):
    """Routes of a lower priority are served less, but not starved."""
    served_fractions, total_fraction = _simulate_overload(
        load, (5, 3, 2), (0, 1, 2), (1, 1, 1)
    )
    assert min(served_fractions) >= MIN_SERVED_FRACTION * total_fraction
