"""Test that streams keep their accepted gaps under excess demand.

Each further request that runs in a group makes every forward pass longer, so
too many requests at once make the gaps of all streams too long.
"""

from bambooring.balancing import const
from bambooring.balancing import limit

SLOTS = 6
ACCEPTED_GAP_S = 0.12


def _get_pass_s(running):
    """Return the duration of a pass, given the requests of each rank."""
    return 0.03 + 0.018 * running


def _run(concurrency, intervals, demand):
    """Run a demand of requests at a target; return the gap per interval."""
    gaps_s = []
    for _ in range(intervals):
        running = min(demand, int(min(concurrency.max_requests, SLOTS)))
        gaps_s.append(_get_pass_s(running))
        concurrency.add_gap(gaps_s[-1], ACCEPTED_GAP_S)
        concurrency.close_interval()
        concurrency.adjust([concurrency.mean_gap_s], SLOTS)
    return gaps_s


def test_excess_demand_settles_below_the_accepted_gap():
    """Within two seconds the gaps are shorter than what is accepted."""
    concurrency = limit.ConcurrencyLimit()
    intervals = round(2.0 / const.LIMIT_ADJUST_INTERVAL_S)
    _run(concurrency, intervals, demand=20)
    assert max(_run(concurrency, 40, demand=20)) <= ACCEPTED_GAP_S
    # The limit isn't lower than needed: with one request more, the gaps would
    # be too long for the limit to be raised.
    assert (
        _get_pass_s(concurrency.max_requests + 1)
        > const.GAP_LOW_RATIO * ACCEPTED_GAP_S
    )


def test_low_demand_is_not_limited():
    """Short gaps leave all slots in use."""
    concurrency = limit.ConcurrencyLimit()
    _run(concurrency, 40, demand=2)
    assert concurrency.max_requests == float('inf')


def test_limit_ends_after_excess_demand():
    """Once the gaps are short again, all slots are used again."""
    concurrency = limit.ConcurrencyLimit()
    _run(concurrency, 10, demand=20)
    assert concurrency.max_requests < SLOTS
    _run(concurrency, 40, demand=1)
    assert concurrency.max_requests == float('inf')


def test_some_requests_always_run():
    """The limit has a minimum, however slow a group is."""
    concurrency = limit.ConcurrencyLimit()
    for _ in range(100):
        concurrency.adjust([9.0], SLOTS)
        concurrency.add_gap(9.0, ACCEPTED_GAP_S)
    assert concurrency.max_requests == const.LIMIT_MIN
