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


def test_small_excess_lowers_the_limit_a_little():
    """A gap just above what is wanted doesn't turn callers away.

    The limit fell by half a request in each interval until that showed in the
    gaps, so a few long passes left half of the slots empty for seconds.
    """
    concurrency = limit.ConcurrencyLimit()
    gap_s = 1.03 * const.GAP_HIGH_RATIO * ACCEPTED_GAP_S
    for _ in range(const.LIMIT_SETTLING_INTERVALS):
        concurrency.add_gap(gap_s, ACCEPTED_GAP_S)
        concurrency.close_interval()
        concurrency.adjust([gap_s], SLOTS, mean_running=3.0)
    assert 2.7 < concurrency.max_requests < 3.0


def test_limit_between_two_numbers_admits_a_share_of_the_targets():
    """Targets don't all get one more request in the same moment."""
    concurrency = limit.ConcurrencyLimit()
    concurrency.max_requests = 2.25
    targets = [f'i-{number}' for number in range(400)]
    more = [
        target
        for target in targets
        if concurrency.get_max_requests(target) >= 3
    ]
    assert 0.2 < len(more) / len(targets) < 0.3
    concurrency.max_requests = 2.0
    assert not any(concurrency.get_max_requests(item) > 2 for item in targets)
