"""Test the estimate of demand that shifts, and across epochs."""

import pytest

from bambooring.experts import demand as demand_module
from bambooring_core import errors
from bambooring_core.ranks import messages


def _report(counts, epoch=1):
    return messages.RankDemand(
        target='rank-0',
        group='g',
        epoch=epoch,
        rank=0,
        sets=1,
        packed=messages.pack_counts(counts),
    )


def test_newer_counts_weigh_more():
    """A count weighs 16 times as much as one four half-lives older."""
    demand = demand_module.DemandEstimate()
    demand.add(_report([100, 0]), 0.0)
    demand.add(_report([0, 100]), 4 * demand_module.HALF_LIFE_S)
    old, new = demand.loads_by_set[0]
    assert new == pytest.approx(16 * old)


def test_weights_over_long_times():
    """Weights stay finite and ratios correct when reports go on for days."""
    demand = demand_module.DemandEstimate()
    for hour in range(200):
        demand.add(_report([3, 1]), hour * 3600.0)
    first, second = demand.loads_by_set[0]
    assert first / second == pytest.approx(3)


def test_demand_outlasts_an_epoch():
    """The counts of earlier epochs are kept when a group reopens."""
    demand = demand_module.DemandEstimate()
    demand.add(_report([8, 1]), 0.0)
    demand.add(_report([8, 1], epoch=2), 0.0)
    assert demand.loads_by_set == [[16, 2]]


def test_corrupted_report():
    """Counts that can't be unpacked raise a frame error."""
    report = _report([1, 2])
    report.packed = b'spoilt'
    with pytest.raises(errors.FrameError):
        demand_module.DemandEstimate().add(report, 0.0)


@pytest.mark.parametrize(('size', 'half_life_s'), [(1, 0.7), (12, 0.7)])
def test_small_groups_forget_slowly(size, half_life_s):
    """The counts of few ranks are averaged over a longer time."""
    demand = demand_module.DemandEstimate()
    demand.set_group_size(size, 0.0)
    demand.add(_report([100, 0]), 10.0)
    demand.add(_report([0, 100]), 10.0 + half_life_s)
    old, new = demand.loads_by_set[0]
    assert new == pytest.approx(2 * old)


def test_large_group_follows_a_shift():
    """Pattern: 129 ranks, other experts are in demand every three seconds.

    0.7 s after the shift most of the estimate is of the new demand.
    """
    demand = demand_module.DemandEstimate()
    for step in range(60):
        now_s = 5.0 + step * 0.1
        demand.set_group_size(129, now_s)
        demand.add(_report([100, 0] if step < 53 else [0, 100]), now_s)
    old, new = demand.loads_by_set[0]
    assert new > 3 * old


def test_change_of_size_keeps_the_ratio():
    """The estimate survives that the size becomes known later."""
    demand = demand_module.DemandEstimate()
    demand.add(_report([30, 10]), 3.0)
    demand.set_group_size(129, 4.0)
    first, second = demand.loads_by_set[0]
    assert first / second == pytest.approx(3)
    demand.add(_report([30, 10]), 4.0)
    assert demand.loads_by_set[0][0] > 30


# Fewer counts than sets ended the leading control replica.
@pytest.mark.parametrize(
    ('counts', 'sets'), [([1], 2), ([1, 2, 3], 2), ([1], 0)]
)
def test_refuse_counts_of_another_shape(counts, sets):
    """Counts that can't be split into the sets change nothing."""
    demand = demand_module.DemandEstimate()
    demand.add(_report([8, 1]), 0.0)
    report = _report(counts)
    report.sets = sets
    with pytest.raises(errors.FrameError):
        demand.add(report, 0.0)
    assert demand.loads_by_set == [[8, 1]]
