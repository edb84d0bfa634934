"""Order a queue through a long crest.

The pattern: for many seconds more is asked than can run, by a few large
client accounts and a small one, of equal and of unequal priority. Who comes
first may depend on priority and age, but nobody may be left out: each
account and route is served at least a quarter as often as all are.
"""

import random

import pytest

from bambooring.forwarding import decisions
from bambooring.forwarding import fairness
from bambooring.policy import messages as policy

SECONDS = 20.0
TURN_S = 0.01
CAPACITY_PER_S = 60.0
PATIENCE_S = 1.2
FAIR_SHARE = 0.25


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


def _serve(load, shares, routes, accounts):
    """Return the share served of each kind, and of all.

    :param load: demand as a multiple of the capacity
    :param shares: the relative demand of each kind
    :param routes: its route's priority
    :param accounts: its account's priority
    """
    rng = random.Random(1)
    made = [
        (
            _make_route(route),
            policy.Account(name=str(number), keys=[], priority=account),
        )
        for number, (route, account) in enumerate(
            zip(routes, accounts, strict=True)
        )
    ]
    asked, served = [0] * len(shares), [0] * len(shares)
    queue: list[tuple[float, int]] = []
    tracker = fairness.FairnessTracker()
    free = due = 0.0
    for turn in range(round(SECONDS / TURN_S)):
        now_s = turn * TURN_S
        due += load * CAPACITY_PER_S * TURN_S
        while due >= 1:
            due -= 1
            kind = rng.choices(range(len(shares)), shares)[0]
            asked[kind] += 1
            queue.append((now_s, kind))
        free = min(free + CAPACITY_PER_S * TURN_S, 2.0)
        for one in list(queue):
            if now_s - one[0] >= PATIENCE_S:
                queue.remove(one)
                tracker.record_result(
                    [str(one[1])], is_served=False, now_s=now_s
                )

        def get_queue_key(one, now_s=now_s):
            route, account = made[one[1]]
            return decisions.compute_queue_key(
                route,
                account,
                received_s=one[0],
                is_response_started=False,
                now_s=now_s,
                is_underserved=tracker.is_underserved([str(one[1])]),
            )

        queue.sort(key=get_queue_key)
        while queue and free >= 1:
            kind = queue.pop(0)[1]
            served[kind] += 1
            tracker.record_result([str(kind)], is_served=True, now_s=now_s)
            free -= 1
    each = [done / count for done, count in zip(served, asked, strict=True)]
    return each, sum(served) / sum(asked)


@pytest.mark.parametrize('load', [1.3, 2.0, 3.0])
def test_equal_priorities_are_served_alike(load):
    """A small account fares like the large ones beside it."""
    each, of_all = _serve(load, (6, 3, 1), (1, 1, 1), (1, 1, 1))
    assert min(each) >= 0.8 * of_all


@pytest.mark.parametrize('load', [1.3, 2.0, 3.0])
def test_lower_priority_accounts_are_served(load):
    """A lower priority means fewer answers, not none."""
    each, of_all = _serve(load, (5, 3, 2), (1, 1, 1), (0, 1, 2))
    assert min(each) >= FAIR_SHARE * of_all


@pytest.mark.parametrize('load', [1.3, 2.0, 3.0])
def test_lower_priority_routes_are_served(load):
    """The same holds for routes of one service."""
    each, of_all = _serve(load, (5, 3, 2), (0, 1, 2), (1, 1, 1))
    assert min(each) >= FAIR_SHARE * of_all
