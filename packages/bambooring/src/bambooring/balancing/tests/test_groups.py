"""Test that a broken group gets no requests until it is open again.

When one rank of a group is lost, or a failure domain is cut off, every rank
refuses requests for some seconds. Each attempt in that time fails and uses
up one of the attempts that a request has. The heartbeats of the ranks tell
when the group breaks and when it is open again.
"""

import random

from bambooring.balancing import const
from bambooring.balancing import messages as balancing
from bambooring.balancing import state
from bambooring.targets import messages

RANKS = 4
QUERY = balancing.TargetQuery(service='llm')


def _announce(balancer, states):
    """Set the targets, given each rank's epoch and whether it is open."""
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


def _make_balancer():
    return state.Balancer('a', random.Random(1))


def test_broken_group_gets_only_probes():
    """One rank that reports the group as broken is enough."""
    balancer = _make_balancer()
    _announce(balancer, [(1, True)] * 3 + [(1, False)])
    assert balancer.is_unavailable('llm', 0.0)
    probes = sum(
        balancer.choose(QUERY, step / 100) is not None for step in range(500)
    )
    assert probes == 5.0 / const.BROKEN_GROUP_PROBE_INTERVAL_S


def test_first_rank_of_a_later_epoch_opens_the_group():
    """Reports of an earlier epoch are out of date."""
    balancer = _make_balancer()
    _announce(balancer, [(1, False)] * RANKS)
    _announce(balancer, [(1, False)] * 3 + [(2, True)])
    assert not balancer.is_unavailable('llm', 0.0)
    assert all(balancer.choose(QUERY, 0.0) for _ in range(8))


def test_response_overrides_outdated_heartbeat():
    """A group that responds is open, whatever its last heartbeat said."""
    balancer = _make_balancer()
    _announce(balancer, [(3, False)] * RANKS)
    assert balancer.choose(QUERY, 0.0)
    balancer.record_response_started('llm')
    assert not balancer.is_unavailable('llm', 0.0)
    _announce(balancer, [(3, False)] * RANKS)
    assert not balancer.is_unavailable('llm', 0.0)
    _announce(balancer, [(4, True)] * 3 + [(4, False)])
    assert balancer.is_unavailable('llm', 0.0)


def test_slow_rank_gets_less():
    """A slow rank gets less work in proportion to its slowdown."""
    balancer = _make_balancer()
    _announce(balancer, [(1, True)] * RANKS)
    paces = messages.GroupPaces(group='g', paces=[1.0, 1.0, 3.0, 1.0])
    balancer.update_slowdowns(paces, 0.0)
    for _ in range(14):
        choice = balancer.choose(QUERY, 0.0)
        balancer.add_request(choice.target.id, 100)
    running = [balancer.count_running(str(rank)) for rank in range(RANKS)]
    assert running[2] == 1
    assert max(running) <= 5


def test_very_slow_rank_gets_nothing():
    """A rank gets no request if a single one would delay all ranks."""
    balancer = _make_balancer()
    _announce(balancer, [(1, True)] * RANKS)
    paces = messages.GroupPaces(group='g', paces=[12.0, 1.0, 1.0, 1.0])
    balancer.update_slowdowns(paces, 0.0)
    while (choice := balancer.choose(QUERY, 0.0)) is not None:
        balancer.add_request(choice.target.id, 100)
    assert balancer.count_running('0') == 0
    assert balancer.choose(QUERY, const.SLOWDOWN_TTL_S + 1).target.id == '0'


def test_services_without_groups():
    """A service whose targets are in no group is never broken."""
    balancer = _make_balancer()
    balancer.set_targets([])
    assert not balancer.is_unavailable('app', 0.0)
