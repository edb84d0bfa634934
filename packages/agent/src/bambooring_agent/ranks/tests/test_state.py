"""Test what a rank's agent reports, of its state and of its demand."""

from bambooring_agent.ranks import const
from bambooring_agent.ranks import state
from bambooring_core.ranks import messages


def _record_totals(meter, counts, epoch=1, rank=0, size=1):
    rank_state = messages.RankState(
        target='rank-0',
        service='llm',
        group='g',
        epoch=epoch,
        rank=rank,
        size=size,
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


# A jump of the totals that no report has room for ended the agent.
def test_absurd_totals_are_no_demand():
    """Totals that jump by more than 32 bits are not compared."""
    meter = state.DemandMeter()
    _record_totals(meter, [0, 0, 0])
    assert _record_totals(meter, [2**32, 0, 0]) is None
    assert _record_totals(meter, [2**33 - 1, 0, 0]) == [2**32 - 1, 0, 0]


def test_latest_demand_is_kept():
    """Totals without a change keep the last demand for a new leader."""
    meter = state.DemandMeter()
    _record_totals(meter, [0, 0, 0])
    _record_totals(meter, [1, 0, 2])
    _record_totals(meter, [1, 0, 2])
    assert meter.latest_demand is not None
    assert messages.unpack_counts(meter.latest_demand.packed) == [1, 0, 2]


def _make_state(is_open, step=7):
    return messages.RankState(
        target='side-0',
        service='llm',
        group='g',
        epoch=1,
        rank=0,
        size=129,
        is_open=is_open,
        step=step,
        version=0,
        prepared=0,
        armed=0,
        held=messages.NOT_HELD,
    )


def test_opening_is_reported_soon():
    """Pattern: a large group was out, and all its callers wait for a map.

    The ranks are read often, but the leader is told little more often than
    while the group is open, and of the opening at once.
    """
    reporter = state.StateReporter()
    now_s, told = 0.0, 0
    broken = _make_state(is_open=False)
    while now_s < 6.0:
        told += reporter.is_due(broken, now_s)
        now_s += state.get_state_interval_s(broken)
    assert told <= 2 * 6.0 / const.STATE_POLL_INTERVAL_S + 1
    assert state.get_state_interval_s(broken) <= 0.1
    assert reporter.is_due(_make_state(is_open=True), now_s)


def test_open_group_is_reported_at_each_poll():
    """The state of an open group is told each time, changed or not."""
    reporter = state.StateReporter()
    is_due = [reporter.is_due(_make_state(is_open=True), 0.0) for _ in '123']
    assert is_due == [True] * 3


def _count_reports(size):
    """Return by reading how many ranks report, and what the reports have."""
    meters = [state.DemandMeter() for _ in range(size)]
    counts_by_reading: list[int] = []
    reported: set[tuple[int, ...]] = set()
    for reading in range(9):
        reports = [
            _record_totals(meter, [reading], rank=rank, size=size)
            for rank, meter in enumerate(meters)
        ]
        found = [report for report in reports if report]
        counts_by_reading.append(len(found))
        reported.update(tuple(report) for report in found)
    return counts_by_reading[1:], reported


def test_all_ranks_of_a_small_group_report():
    """Each rank of a small group reports at each reading."""
    assert _count_reports(12) == ([12] * 8, {(1,)})


def test_part_of_the_ranks_of_a_large_group_reports():
    """Pattern: 129 ranks whose demand shifts every few seconds.

    The leader gets as many reports as of a small group, each with what was
    counted since the last reading, not since the rank's last report.
    """
    counts, reported = _count_reports(129)
    assert max(counts) <= const.REPORTING_RANKS
    assert min(counts) >= const.REPORTING_RANKS - 6
    assert reported == {(1,)}
