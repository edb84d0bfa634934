"""Test that planning a large map leaves the leader time for other work.

Pattern: a group of 129 ranks and 16 sets of 258 experts. The leader that plans
its map also renews leases and answers operators; a second without that is
taken for a dead replica.
"""

from bambooring.experts import rebalancer_types
from bambooring.experts import rebalancing
from bambooring_core.ranks import messages

RANKS, SETS, EXPERTS, PLACES = 16, 8, 32, 3


def _make_state(rank, epoch=1, version=0):
    return messages.RankState(
        target=f'side-{rank}',
        service='llm',
        group='g',
        epoch=epoch,
        rank=rank,
        size=RANKS,
        is_open=True,
        step=10,
        version=version,
        prepared=0,
        armed=0,
        held=messages.NOT_HELD,
        layout_version=version,
        layout=[
            messages.RankExperts(experts=[rank, rank + RANKS])
            for _ in range(SETS)
        ],
    )


def _report_states(rebalancer, now_s, **changes):
    return [
        effect
        for rank in range(RANKS)
        for effect in rebalancer.take_state(
            _make_state(rank, **changes), now_s
        )
    ]


def _make_rebalancer():
    """Return a rebalancer that has just begun to plan."""
    rebalancer = rebalancing.Rebalancer(
        group='g',
        term=1,
        engine_spec=rebalancer_types.EngineSpec(
            slots_per_rank=PLACES, spare_slots=2, expert_share=0.85
        ),
    )
    counts = [1 + 50 * (expert % RANKS == 3) for expert in range(EXPERTS)]
    rebalancer.demand.add(
        messages.RankDemand(
            target='side-0',
            group='g',
            epoch=1,
            rank=0,
            sets=SETS,
            packed=messages.pack_counts(counts * SETS),
        ),
        1.0,
    )
    effects = _report_states(rebalancer, 1.0)
    assert effects == [rebalancer_types.ContinuePlanning()]
    return rebalancer


def _is_order(effect):
    return isinstance(effect, rebalancer_types.SendOrder)


def test_one_set_at_a_time():
    """Each call plans one set; the orders come with the last one."""
    rebalancer = _make_rebalancer()
    for _ in range(SETS - 1):
        effects = list(rebalancer.continue_planning(1.1))
        assert effects == [rebalancer_types.ContinuePlanning()]
        assert not _report_states(rebalancer, 1.1)
    effects = list(rebalancer.continue_planning(1.2))
    assert sum(map(_is_order, effects)) == RANKS
    assert not list(rebalancer.continue_planning(1.3))


def test_plan_for_another_map_is_dropped():
    """A plan made for a map that is no longer in force starts no switch."""
    for changes in ({'epoch': 2}, {'version': 5}):
        rebalancer = _make_rebalancer()
        for _ in range(SETS - 1):
            list(rebalancer.continue_planning(1.1))
        _report_states(rebalancer, 1.2, **changes)
        effects = list(rebalancer.continue_planning(1.2))
        assert not any(map(_is_order, effects))
        assert rebalancer.phase is rebalancer_types.Phase.IDLE
        assert _report_states(rebalancer, 1.3, **changes) == [
            rebalancer_types.ContinuePlanning()
        ]


def test_silent_ranks_start_no_switch():
    """If a rank was silent while the map was planned, nothing begins."""
    rebalancer = _make_rebalancer()
    for _ in range(SETS):
        effects = list(rebalancer.continue_planning(9.0))
    assert not any(map(_is_order, effects))
