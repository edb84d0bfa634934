"""Keep streams on time through a crest of demand.

The pattern: requests come faster than a group can write with short pauses;
each further request that runs makes every pass longer for all.
"""

from bambooring.balancing import const
from bambooring.balancing import limit

SLOTS = 6
ACCEPTED_S = 0.12


def _get_pass_s(running):
    """Return how long a pass lasts with so many requests a rank."""
    return 0.03 + 0.018 * running


def _run(found, intervals, demand):
    """Let a crest press on a target; return the pauses, one an interval."""
    pauses = []
    for _ in range(intervals):
        running = min(demand, int(min(found.limit, SLOTS)))
        pauses.append(_get_pass_s(running))
        found.add_gap(pauses[-1], ACCEPTED_S)
        found.close_interval()
        found.adjust([found.mean_gap_s], SLOTS)
    return pauses


def test_crest_settles_below_the_accepted_pause():
    """Within two seconds the streams pause for less than is accepted."""
    found = limit.ConcurrencyLimit()
    intervals = round(2.0 / const.LIMIT_ADJUST_INTERVAL_S)
    _run(found, intervals, demand=20)
    assert max(_run(found, 40, demand=20)) <= ACCEPTED_S
    # One request more would pause streams longer than what raises it.
    assert _get_pass_s(found.limit + 1) > const.GAP_LOW_RATIO * ACCEPTED_S


def test_quiet_load_is_not_limited():
    """Short pauses leave all slots in use."""
    found = limit.ConcurrencyLimit()
    _run(found, 40, demand=2)
    assert found.limit == float('inf')


def test_limit_ends_after_the_crest():
    """Once the pauses are short again, all slots are used again."""
    found = limit.ConcurrencyLimit()
    _run(found, 10, demand=20)
    assert found.limit < SLOTS
    _run(found, 40, demand=1)
    assert found.limit == float('inf')


def test_one_request_always_runs():
    """However slow a group is, some requests run."""
    found = limit.ConcurrencyLimit()
    for _ in range(100):
        found.adjust([9.0], SLOTS)
        found.add_gap(9.0, ACCEPTED_S)
    assert found.limit == const.LIMIT_MIN
