"""Test that a large fleet knows the load of all targets at bounded cost.

Pattern: a hundred entry instances in five failure domains send requests to the
same targets. If each told all others of each request, most bytes would cross
domains. So a relay sums up its domain; relays freeze, die, are cut off one
way, return late or exist twice.
"""

import hypothesis
from hypothesis import strategies
import pytest

from bambooring.loads import const
from bambooring.loads import state
from bambooring.loads import summaries
from bambooring.loads.tests import fleet as fleet_module
from bambooring.targets import messages as targets
from bambooring_core import bounds
from bambooring_core import datagrams

# Two intervals, the time until the next tick, and the way of a datagram
# through the sending and the receiving domain.
TWO_INTERVALS_S = 3 * const.RELAY_INTERVAL_S + 0.02
SETTLED_S = const.RELAY_WARM_UP_S + 0.3
TARGETS = [f'target-{number}' for number in range(20)]


def _make_fleet(seed=1, domains=5, per_domain=20, loss=0.0):
    fleet = fleet_module.Fleet(
        domains=domains, per_domain=per_domain, seed=seed, loss=loss
    )
    fleet.run(SETTLED_S)
    return fleet


def _change_load(fleet, count=60):
    for _ in range(count):
        instance = fleet.random.choice(fleet.list_living())
        target = fleet.random.choice(TARGETS)
        fleet.add_request(
            instance.address, target, fleet.random.choice([1, 1, -1])
        )


def _assert_all_known(fleet):
    for instance in fleet.list_living():
        seen = {target: instance.count_seen(target) for target in TARGETS}
        true = {target: fleet.count_running(target) for target in TARGETS}
        assert seen == true, instance.address


def _get_relay(fleet, domain='d0'):
    (relay,) = fleet.list_relays(domain)
    return fleet.instances[relay]


def test_every_domain_has_one_relay():
    """In a calm fleet each domain has one relay, its lowest address."""
    fleet = _make_fleet()
    for domain in range(5):
        assert fleet.list_relays(f'd{domain}') == [f'10.{domain}.0.000:70']


def test_load_is_known_after_two_intervals():
    """Changes of all instances are known everywhere after two intervals."""
    fleet = _make_fleet()
    for _ in range(5):
        _change_load(fleet)
        fleet.run(TWO_INTERVALS_S)
        _assert_all_known(fleet)


def test_waiting_requests_are_summed():
    """The queues of all other instances are counted once each."""
    fleet = _make_fleet()
    _change_load(fleet, 200)
    for instance in fleet.instances.values():
        fleet.add_request(instance.address, 'target-0')
    fleet.run(TWO_INTERVALS_S)
    for instance in fleet.list_living():
        assert instance.loads.count_waiting('llm') == 99


def test_waiting_requests_are_summed_by_urgency():
    """Slots would be left to the wrong ones if a sum lost the urgency.

    Senders that don't tell it have least urgent requests only.
    """
    fleet = _make_fleet(domains=2)
    for index, instance in enumerate(fleet.instances.values()):
        instance.waiting_by_urgency = [1] if index % 2 else []
        fleet.add_request(instance.address, 'target-0')
    fleet.run(TWO_INTERVALS_S)
    counts = fleet.list_living()[0].loads.count_waiting_by_urgency('llm')
    assert counts == [20] + [0] * 8 + [19]


def test_old_counts_by_urgency_expire():
    """The counts of an instance that is cut off would hold slots back."""
    fleet = _make_fleet(domains=2, per_domain=2)
    for instance in fleet.instances.values():
        instance.waiting_by_urgency = [1]
        fleet.add_request(instance.address, 'target-0')
    fleet.run(TWO_INTERVALS_S)
    first = fleet.list_living()[0]
    assert sum(first.loads.count_waiting_by_urgency('llm')) == 3
    first.loads.expire(fleet.now_s + const.PEER_LOAD_TTL_S + 0.1)
    assert not any(first.loads.count_waiting_by_urgency('llm'))


def test_small_fleet_reports_directly():
    """Up to a few dozen instances nothing waits for a relay."""
    fleet = _make_fleet(domains=3, per_domain=6)
    _change_load(fleet, 30)
    fleet.run(0.02)
    _assert_all_known(fleet)
    assert not fleet.list_relays('d0')


def test_dead_relay_is_replaced():
    """After a relay dies, its domain is heard of again within two timeouts."""
    fleet = _make_fleet()
    relay = _get_relay(fleet)
    relay.is_alive = False
    fleet.run(2 * const.RELAY_TIMEOUT_S)
    assert fleet.list_relays('d0') == ['10.0.0.001:70']
    _change_load(fleet)
    fleet.run(const.PEER_LOAD_TTL_S)
    _assert_all_known(fleet)


def test_several_lowest_instances_die():
    """Each further dead candidate costs one more timeout."""
    fleet = _make_fleet()
    for number in range(3):
        fleet.instances[f'10.0.0.00{number}:70'].is_alive = False
    fleet.run(4 * const.RELAY_TIMEOUT_S)
    assert fleet.list_relays('d0') == ['10.0.0.003:70']


def test_frozen_relay_returns_late():
    """A relay that was frozen sends nothing old and takes over again later."""
    fleet = _make_fleet()
    _change_load(fleet)
    fleet.run(TWO_INTERVALS_S)
    relay = _get_relay(fleet)
    relay.is_frozen = True
    fleet.run(1.0)
    _change_load(fleet)
    fleet.run(TWO_INTERVALS_S)
    relay.is_frozen = False
    for _ in range(20):
        _change_load(fleet, 5)
        fleet.run(TWO_INTERVALS_S)
        others = [
            instance
            for instance in fleet.list_living()
            if instance.domain != 'd0'
        ]
        for instance in others:
            for target in TARGETS:
                assert instance.count_seen(target) == fleet.count_running(
                    target
                )
    assert fleet.list_relays('d0') == [relay.address]


def test_two_relays_double_nothing():
    """If two instances act as relays, each load is still counted once."""
    fleet = _make_fleet()
    second = '10.0.0.001:70'
    fleet.is_cut = lambda sender, receiver: (
        sender == '10.0.0.000:70' and receiver == second
    )
    for _ in range(20):
        _change_load(fleet, 10)
        fleet.run(TWO_INTERVALS_S)
        for instance in fleet.list_living():
            if instance.domain == 'd0':
                continue
            for target in TARGETS:
                seen = instance.count_seen(target)
                assert seen <= fleet.count_running(target) + 5
    assert len(fleet.list_relays('d0')) == 2


@pytest.mark.parametrize('seed', range(3))
def test_relay_unreachable_from_one_domain(seed):
    """A cut in one direction between two relays loses no domain."""
    fleet = _make_fleet(seed)
    fleet.is_cut = lambda sender, receiver: (
        sender == '10.0.0.000:70' and receiver == '10.1.0.000:70'
    )
    for _ in range(10):
        _change_load(fleet, 20)
        fleet.run(TWO_INTERVALS_S + 2 * const.RELAY_INTERVAL_S)
        _assert_all_known(fleet)


def test_lost_datagrams():
    """With datagrams lost at random the counts are right soon after."""
    fleet = _make_fleet(loss=0.03)
    for _ in range(5):
        _change_load(fleet)
        fleet.run(0.5)
    fleet.loss = 0.0
    fleet.run(const.FULL_SUMMARY_EVERY * const.RELAY_INTERVAL_S + 0.6)
    _assert_all_known(fleet)


def test_restarted_instance_learns_the_load():
    """After a restart all load is known, and what ended with it forgotten."""
    fleet = _make_fleet()
    _change_load(fleet, 200)
    fleet.restart('10.2.0.000:70')
    fleet.run(const.PEER_LOAD_TTL_S + TWO_INTERVALS_S)
    _assert_all_known(fleet)


def test_cut_domain_is_forgotten():
    """Requests of a domain that is cut off stop counting after the TTL."""
    fleet = _make_fleet()
    fleet.add_request('10.4.0.005:70', 'target-0', 3)
    fleet.run(TWO_INTERVALS_S)
    fleet.is_cut = lambda sender, receiver: (
        sender.startswith('10.4.') != (receiver.startswith('10.4.'))
    )
    fleet.run(const.PEER_LOAD_TTL_S + 0.2)
    assert fleet.instances['10.0.0.001:70'].count_seen('target-0') == 0
    fleet.is_cut = lambda sender, receiver: False
    fleet.run(const.FULL_SUMMARY_EVERY * const.RELAY_INTERVAL_S + 0.2)
    assert fleet.instances['10.0.0.001:70'].count_seen('target-0') == 3


def test_foreign_and_old_messages_change_nothing():
    """A report from another domain, or an old one, is not counted."""
    fleet = _make_fleet()
    receiver = fleet.instances['10.0.0.001:70']
    sender = fleet.instances['10.1.0.003:70']
    sender.running['target-0'] = 5
    now_s = fleet.now_s
    outcome, _ = receiver.exchange.handle(sender.make_report(), now_s, now_s)
    assert outcome == 'foreign'
    neighbour = fleet.instances['10.0.0.002:70']
    neighbour.running['target-0'] = 2
    old, new = neighbour.make_report(), neighbour.make_report()
    outcomes = [
        receiver.exchange.handle(report, now_s, now_s)[0]
        for report in (new, old, new)
    ]
    assert outcomes == ['accepted', 'repeated', 'repeated']
    assert receiver.count_seen('target-0') == 2


def test_mode_change_doubles_nothing():
    """Direct reports are dropped once a summary covers their senders."""
    fleet = fleet_module.Fleet(domains=2, per_domain=10, seed=1)
    fleet.run(SETTLED_S)
    fleet.add_request('10.1.0.003:70', 'target-0', 4)
    fleet.run(0.05)
    for domain in range(2):
        for number in range(10, 25):
            address = f'10.{domain}.0.{number:03}:70'
            fleet.instances[address] = fleet_module.Instance(
                address, f'd{domain}', 1, fleet.now_s
            )
    fleet.announce()
    for _ in range(30):
        fleet.run(0.05)
        for instance in fleet.list_living():
            assert instance.count_seen('target-0') <= 4
    _assert_all_known(fleet)


def test_bytes_do_not_grow_with_requests_times_instances():
    """Summaries cost a small part of what direct reports would cost."""
    fleet = _make_fleet()
    fleet.remote_bytes = 0
    fleet.received_bytes.clear()
    requests_per_s, duration_s = 150, 2.0
    changes = round(requests_per_s * 2 * duration_s)
    direct_bytes = 0
    for _ in range(changes // 6):
        _change_load(fleet, 6)
        report = fleet.instances['10.0.0.000:70'].make_report()
        assert isinstance(report, targets.Load)
        direct_bytes += 6 * 80 * 150
        fleet.run(0.02)
    assert fleet.remote_bytes < direct_bytes / 5


@hypothesis.settings(max_examples=25, deadline=None)
@hypothesis.given(
    seed=strategies.integers(0, 2**32),
    faults=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['kill', 'freeze', 'thaw', 'restart']),
            strategies.integers(0, 2),
            strategies.integers(0, 3),
        ),
        max_size=6,
    ),
)
def test_any_faults_settle(seed, faults):
    """Whatever happened to relays, all load is known again once it is calm."""
    fleet = fleet_module.Fleet(domains=3, per_domain=11, seed=seed, loss=0.02)
    fleet.run(SETTLED_S)
    for kind, domain, number in faults:
        address = f'10.{domain}.0.00{number}:70'
        instance = fleet.instances[address]
        if kind == 'kill':
            instance.is_alive = False
        elif kind == 'freeze':
            instance.is_frozen = True
        elif kind == 'thaw':
            instance.is_frozen = False
        else:
            fleet.restart(address)
        _change_load(fleet, 10)
        fleet.run(0.2)
    for instance in fleet.instances.values():
        instance.is_frozen = False
    fleet.loss = 0.0
    fleet.run(const.PEER_LOAD_TTL_S + 2.5)
    _assert_all_known(fleet)


# Reports that each have room ended the relay as their sum had none.
def test_sum_of_huge_prompts_has_room_in_summary():
    """A summary has the most tokens that have room where a sum is higher."""
    highest = 2**bounds.INTEGER_BITS - 1
    own, peer = (
        targets.Load(
            sender=sender,
            incarnation=1,
            sequence=1,
            targets=[
                targets.TargetLoad(target='i-1', running=1, tokens=highest)
            ],
            services=[],
        )
        for sender in ('own', 'peer')
    )
    loads = state.ClusterLoads()
    loads.add_report(peer, 0.0)
    rows, totals = loads.sum_domain(own, 0.0)
    writer = summaries.SummaryWriter('a', 'own', 1)
    datagram = datagrams.seal(b'key', writer.write(rows, totals, 0.0))
    summary = datagrams.unseal(b'key', datagram)
    assert (summary.running, summary.tokens) == ([2], [highest])
