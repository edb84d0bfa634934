"""Measure what a rank's requests choose, over restarts and epochs."""

from bambooring_agent.ranks import state
from bambooring_core.ranks import messages


def _record(meter, counts, epoch=1):
    rank = messages.RankState(
        target='rank-0',
        service='llm',
        group='g',
        epoch=epoch,
        rank=0,
        size=1,
        is_open=True,
        step=1,
        version=0,
        prepared=0,
        armed=0,
        held=messages.NOT_HELD,
        layout_version=0,
        layout=[messages.RankExperts(experts=[0, 1, 2])],
    )
    totals = messages.Counts(epoch=epoch, counts=counts)
    demand = meter.record_totals(totals, rank)
    return demand and messages.unpack_counts(demand.packed)


def test_differences():
    """Demand is what was added since the last look."""
    meter = state.DemandMeter()
    assert _record(meter, [5, 0, 9]) is None
    assert _record(meter, [6, 0, 13]) == [1, 0, 4]
    assert _record(meter, [6, 0, 13]) is None


def test_new_epoch():
    """Counts go on when a group opens again, so demand does as well."""
    meter = state.DemandMeter()
    _record(meter, [5, 0, 9])
    assert _record(meter, [7, 0, 9], epoch=2) == [2, 0, 0]


def test_restart():
    """A rank that started anew is compared with its new counts only."""
    meter = state.DemandMeter()
    _record(meter, [50, 0, 90])
    assert _record(meter, [1, 0, 2]) is None
    assert _record(meter, [1, 3, 2]) == [0, 3, 0]


def test_newest_is_kept():
    """What was measured last can be told to a new leader."""
    meter = state.DemandMeter()
    _record(meter, [0, 0, 0])
    _record(meter, [1, 0, 2])
    _record(meter, [1, 0, 2])
    assert meter.latest_demand is not None
    assert messages.unpack_counts(meter.latest_demand.packed) == [1, 0, 2]
