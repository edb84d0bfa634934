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
