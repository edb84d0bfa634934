"""Test the demand that is computed over restarts and epochs."""

from bambooring_agent.ranks import state
from bambooring_core.ranks import messages


def _record_totals(meter, counts, epoch=1):
    rank_state = messages.RankState(
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
    totals = messages.ExpertCounts(epoch=epoch, counts=counts)
    demand = meter.record_totals(totals, rank_state)
    return demand and messages.unpack_counts(demand.packed)


def test_demand_is_difference_of_totals():
    """The demand is what was added since the last totals."""
    meter = state.DemandMeter()
    assert _record_totals(meter, [5, 0, 9]) is None
    assert _record_totals(meter, [6, 0, 13]) == [1, 0, 4]
    assert _record_totals(meter, [6, 0, 13]) is None


def test_demand_continues_in_new_epoch():
    """Totals continue when a group opens again, so the demand does too."""
    meter = state.DemandMeter()
    _record_totals(meter, [5, 0, 9])
    assert _record_totals(meter, [7, 0, 9], epoch=2) == [2, 0, 0]


def test_demand_after_restart():
    """The totals of a restarted rank are not compared with earlier ones."""
    meter = state.DemandMeter()
    _record_totals(meter, [50, 0, 90])
    assert _record_totals(meter, [1, 0, 2]) is None
    assert _record_totals(meter, [1, 3, 2]) == [0, 3, 0]


def test_latest_demand_is_kept():
    """Totals without a change keep the last demand for a new leader."""
    meter = state.DemandMeter()
    _record_totals(meter, [0, 0, 0])
    _record_totals(meter, [1, 0, 2])
    _record_totals(meter, [1, 0, 2])
    assert meter.latest_demand is not None
    assert messages.unpack_counts(meter.latest_demand.packed) == [1, 0, 2]
