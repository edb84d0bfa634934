"""Test which failure domains get requests.

Some are evacuated, and some requests are bound to a part of them.
"""

import random

from bambooring.balancing import const
from bambooring.balancing import messages as balancing
from bambooring.balancing import state
from bambooring.targets import messages


def _make_target(id, domain, **changes):
    values = {
        'id': id,
        'service': 'llm',
        'address': '10.0.0.1:80',
        'failure_domain': domain,
        'slots': 6,
        'state': messages.State.READY,
        'born_ms': 1,
        'sequence': 1,
    } | changes
    return messages.Target(**values)


def _make_balancer(*, known=(), **changes):
    """Return a balancer with a target in each of three failure domains."""
    balancer = state.Balancer('a', random.Random(1), known_domains=known)
    balancer.set_targets(
        _make_target(f'in-{domain}', domain, **changes) for domain in 'abc'
    )
    return balancer


def _choose(balancer, now_s=0.0, excluded=(), allowed=None):
    choice = balancer.choose(
        balancing.TargetQuery(
            service='llm', excluded_ids=excluded, allowed_domains=allowed
        ),
        now_s,
    )
    return choice.target.id if choice else None


def test_requests_avoid_an_evacuated_domain():
    """Neither an idle target nor one of the own domain is an exception."""
    balancer = _make_balancer()
    balancer.add_request('in-b', 1)
    balancer.add_request('in-c', 1)
    assert _choose(balancer) == 'in-a'
    balancer.set_evacuated_domains(['a'])
    assert _choose(balancer) in ('in-b', 'in-c')


def test_retry_avoids_an_evacuated_domain():
    """A retry whose other targets were tried waits, or it is refused."""
    balancer = _make_balancer()
    balancer.set_evacuated_domains(['a'])
    assert _choose(balancer, excluded=('in-b', 'in-c')) is None


def test_two_domains_evacuated():
    """Everything goes to the third failure domain."""
    balancer = _make_balancer()
    balancer.set_evacuated_domains(['a', 'c'])
    assert _choose(balancer) == 'in-b'
    assert not balancer.is_evacuated('llm')


def test_unhealthy_target_does_not_bring_an_evacuated_one_back():
    """If all targets that are left are ejected, they are tried anyway."""
    balancer = _make_balancer()
    balancer.set_evacuated_domains(['a', 'c'])
    balancer.record_failure('in-b', 0.0)
    assert _choose(balancer) == 'in-b'
    assert not balancer.is_evacuated('llm')


def test_capacity_counts_what_is_left():
    """Limits and estimates don't count slots that nobody may use."""
    balancer = _make_balancer()
    balancer.add_request('in-a', 1)
    balancer.set_evacuated_domains(['a'])
    capacity = balancer.get_capacity('llm', 0.0)
    assert (capacity.target_count, capacity.slots) == (2, 12)
    assert capacity.running == 0


def test_rests_of_what_is_left_are_waited_for():
    """An evacuated target that doesn't rest doesn't hide that others do."""
    balancer = _make_balancer()
    for domain in 'bc':
        balancer.rests.begin(_make_target(f'in-{domain}', domain), 2.0, 0.0)
    assert balancer.get_rest_wait_s('llm', 0.0) is None
    balancer.set_evacuated_domains(['a'])
    assert balancer.get_rest_wait_s('llm', 0.0) == 2.0


def test_probe_after_a_rest_avoids_an_evacuated_domain():
    """The end of a rest doesn't send a probe to an evacuated target."""
    balancer = _make_balancer()
    balancer.rests.begin(_make_target('in-a', 'a'), 1.0, 0.0)
    balancer.set_evacuated_domains(['a'])
    for _ in range(20):
        assert _choose(balancer, 1.5) != 'in-a'


def test_probe_of_a_broken_group_avoids_an_evacuated_domain():
    """The request that finds out whether a group is open goes elsewhere."""
    balancer = _make_balancer(group='g', is_group_open=False)
    balancer.set_evacuated_domains(['a', 'b'])
    assert balancer.is_group_broken('llm')
    probes = [
        _choose(balancer, number * const.BROKEN_GROUP_PROBE_INTERVAL_S)
        for number in range(5)
    ]
    assert probes == ['in-c'] * 5


def test_running_target_of_an_evacuated_domain_is_known():
    """Crash checks go on for requests that run in an evacuated domain."""
    balancer = _make_balancer()
    balancer.set_evacuated_domains(['a'])
    assert balancer.has_target(_make_target('in-a', 'a'))


def test_withdrawal():
    """Targets get requests again once the evacuation is withdrawn."""
    balancer = _make_balancer()
    balancer.set_evacuated_domains(['a', 'b', 'c'])
    assert _choose(balancer) is None
    assert balancer.is_evacuated('llm')
    balancer.set_evacuated_domains(['b', 'c'])
    assert _choose(balancer) == 'in-a'


def test_service_without_targets_is_not_evacuated():
    """A short outage of a service still lets its callers wait."""
    balancer = _make_balancer(known=('a', 'b'))
    balancer.set_evacuated_domains(['a'])
    assert not balancer.is_evacuated('other')
    balancer.set_evacuated_domains(['a', 'b'])
    assert balancer.is_evacuated('other')


def test_bound_request_stays_in_its_domains():
    """An idle target elsewhere is no reason to leave the allowed regions."""
    balancer = _make_balancer()
    balancer.add_request('in-c', 1)
    bound = frozenset('c')
    assert _choose(balancer, allowed=bound) == 'in-c'
    assert _choose(balancer, excluded=('in-c',), allowed=bound) is None


def test_ejected_target_does_not_lift_the_bound():
    """If no allowed target is healthy, one of them is tried anyway."""
    balancer = _make_balancer()
    balancer.record_failure('in-c', 0.0)
    assert _choose(balancer, allowed=frozenset('c')) == 'in-c'


def test_capacity_counts_allowed_domains():
    """Slots elsewhere don't make a request wait that can't use them."""
    balancer = _make_balancer()
    balancer.add_request('in-a', 1)
    capacity = balancer.get_capacity('llm', 0.0, frozenset('bc'))
    assert (capacity.target_count, capacity.slots) == (2, 12)
    assert capacity.running == 0


def test_rests_count_in_allowed_domains():
    """A target elsewhere that doesn't rest doesn't shorten the wait."""
    balancer = _make_balancer()
    balancer.rests.begin(_make_target('in-b', 'b'), 2.0, 0.0)
    wait_s = balancer.get_rest_wait_s(
        'llm', 0.0, allowed_domains=frozenset('b')
    )
    assert wait_s == 2.0


def test_allowed_domains_all_evacuated():
    """A request whose regions are all evacuated doesn't wait for others."""
    balancer = _make_balancer()
    balancer.set_evacuated_domains(['b'])
    assert balancer.is_evacuated('llm', frozenset('b'))
    assert not balancer.is_evacuated('llm', frozenset('bc'))
    assert not balancer.is_evacuated('llm')
    assert _choose(balancer, allowed=frozenset('b')) is None
    assert _choose(balancer, allowed=frozenset('bc')) == 'in-c'
