"""Wait out a group's outage and go on the moment it opens.

The pattern: one rank of a group is lost, or a failure domain is cut off, so
that every rank refuses for some seconds. Each offer in that time is in vain
and uses up the offers that a request has; the ranks' heartbeats tell when
the group breaks and when it opens again.
"""

import random

from bambooring.balancing import const
from bambooring.balancing import state
from bambooring.targets import messages

RANKS = 4


def _announce(balancer, states):
    """Tell of each rank its epoch and whether the group is open."""
    balancer.set_targets(
        messages.Target(
            id=str(rank),
            service='llm',
            address=f'10.0.0.{rank}:80',
            failure_domain='a',
            slots=6,
            state=messages.State.READY,
            born_ms=1,
            sequence=1,
            group='g',
            group_epoch=epoch,
            rank=rank,
            is_group_open=is_open,
        )
        for rank, (epoch, is_open) in enumerate(states)
    )


def _make():
    return state.Balancer('a', random.Random(1))


def test_broken_group_is_left_alone():
    """One rank's word is enough, and one probe a while is all it gets."""
    balancer = _make()
    _announce(balancer, [(1, True)] * 3 + [(1, False)])
    assert balancer.is_unavailable('llm', 0.0)
    offers = sum(
        balancer.choose('llm', turn / 100) is not None for turn in range(500)
    )
    assert offers == 5.0 / const.BROKEN_GROUP_PROBE_INTERVAL_S


def test_first_rank_of_a_later_epoch_opens():
    """The ranks that still tell of the old epoch are behind."""
    balancer = _make()
    _announce(balancer, [(1, False)] * RANKS)
    _announce(balancer, [(1, False)] * 3 + [(2, True)])
    assert not balancer.is_unavailable('llm', 0.0)
    assert all(balancer.choose('llm', 0.0) for _ in range(8))


def test_answer_disproves_old_news():
    """A group that answers is open, whatever the last heartbeat said."""
    balancer = _make()
    _announce(balancer, [(3, False)] * RANKS)
    assert balancer.choose('llm', 0.0)
    balancer.record_response_started('llm')
    assert not balancer.is_unavailable('llm', 0.0)
    _announce(balancer, [(3, False)] * RANKS)
    assert not balancer.is_unavailable('llm', 0.0)
    _announce(balancer, [(4, True)] * 3 + [(4, False)])
    assert balancer.is_unavailable('llm', 0.0)


def test_slow_rank_gets_less():
    """A straggler gets as much less as it takes longer."""
    balancer = _make()
    _announce(balancer, [(1, True)] * RANKS)
    paces = messages.GroupPaces(group='g', paces=[1.0, 1.0, 3.0, 1.0])
    balancer.update_slowdowns(paces, 0.0)
    for _ in range(14):
        choice = balancer.choose('llm', 0.0)
        balancer.add_request(choice.target.id, 100)
    running = [balancer.count_running(str(one)) for one in range(RANKS)]
    assert running[2] == 1
    assert max(running) <= 5


def test_very_slow_rank_gets_nothing():
    """A rank that would hold all back with one request stays empty."""
    balancer = _make()
    _announce(balancer, [(1, True)] * RANKS)
    paces = messages.GroupPaces(group='g', paces=[12.0, 1.0, 1.0, 1.0])
    balancer.update_slowdowns(paces, 0.0)
    while (choice := balancer.choose('llm', 0.0)) is not None:
        balancer.add_request(choice.target.id, 100)
    assert balancer.count_running('0') == 0
    assert balancer.choose('llm', const.SLOWDOWN_TTL_S + 1).target.id == '0'


def test_services_without_groups():
    """A plain service has no group that could be broken."""
    balancer = _make()
    balancer.set_targets([])
    assert not balancer.is_unavailable('app', 0.0)
