"""Test what entry instances make of each other's word about targets."""

import heapq
import random

from bambooring.balancing import const
from bambooring.balancing import messages as balancing
from bambooring.balancing import peer_health
from bambooring.balancing import state
from bambooring.loads import const as loads_const
from bambooring.loads import exchange
from bambooring.targets import messages
from bambooring_core import datagrams

DOMAINS = 'abc'


def _make_targets(count=72, born_ms=1):
    return [
        messages.Target(
            id=f't{number}',
            service='llm',
            address='10.0.0.1:80',
            failure_domain=DOMAINS[number * len(DOMAINS) // count],
            slots=5,
            state=messages.State.READY,
            born_ms=born_ms,
            sequence=1,
        )
        for number in range(count)
    ]


def _get_health(balancer):
    health = balancer.peer_health
    assert isinstance(health, peer_health.PeerHealth)
    return health


def _choose(balancer, now_s, may_probe=True):
    choice = balancer.choose(
        balancing.TargetQuery(service='llm', may_probe=may_probe), now_s
    )
    return choice.target.id if choice else None


class _Fleet:
    """Entry instances that report to each other, with a delay or a loss."""

    def __init__(self, count=30, shares=True, targets=None):
        self.rng = random.Random(7)
        self.targets = targets or _make_targets()
        addresses = {f'e{n}': DOMAINS[n % 3] for n in range(count)}
        self.balancers = {}
        for address, domain in addresses.items():
            balancer = state.Balancer(
                domain,
                random.Random(address),
                own_address=address,
                shares_health=shares,
            )
            balancer.set_targets(self.targets)
            others = {
                other: place
                for other, place in addresses.items()
                if other != address
            }
            balancer.set_instances(others)
            self.balancers[address] = balancer
        self.loss = 0.0

    def report(self, address, now_s, delay_s=0.0):
        """Report an instance's load to all others."""
        load = self.balancers[address].make_load_report(address, 1, {})
        for other, balancer in self.balancers.items():
            if other != address and self.rng.random() >= self.loss:
                balancer.loads.add_report(load, now_s + delay_s)

    def suspect(self, addresses, numbers, now_s=0.0):
        """Let some instances see some targets fail."""
        for address in addresses:
            for number in numbers:
                self.balancers[address].record_failure(f't{number}', now_s)
            self.report(address, now_s)

    def list_ejected(self, address, now_s):
        """Return the targets that an instance ejects by others' word."""
        balancer = self.balancers[address]
        balancer.refresh_health(now_s)
        return {
            int(target.id[1:])
            for target in self.targets
            if _get_health(balancer).is_ejected(target, is_used=False)
        }

    def count_failures(self, broken, duration_s, rate_per_s=300.0):
        """Count the requests that broken targets fail at once.

        All others take 0.8 s. A request's report arrives after 12 ms.
        """
        events: list[tuple[float, float, str, str, str]] = []
        number = 0
        failed = 0
        now_s = 0.0
        while now_s < duration_s:
            now_s += self.rng.expovariate(rate_per_s)
            address = f'e{self.rng.randrange(len(self.balancers))}'
            heapq.heappush(events, (now_s, number, 'new', address, ''))
            number += 1
        while events and events[0][0] < duration_s:
            now_s, _, kind, address, id = heapq.heappop(events)
            balancer = self.balancers[address]
            delay_s = 0.012
            if kind == 'new':
                choice = balancer.choose(
                    balancing.TargetQuery(service='llm'), now_s
                )
                if choice is None:
                    continue
                id = choice.target.id
                balancer.add_request(id, 0)
                kind, delay_s = 'end', 0.8
                if int(id[1:]) in broken:
                    kind, delay_s = 'fail', 0.005
                self._push(events, now_s + delay_s, kind, address, id)
            elif kind == 'fail':
                failed += 1
                balancer.remove_request(id, 0)
                balancer.record_failure(id, now_s)
            elif kind == 'end':
                balancer.remove_request(id, 0)
                balancer.record_success(id, 'llm', 0.8, now_s)
            else:
                self.report(address, now_s)
                continue
            self._push(events, now_s + 0.012, 'report', address, '')
        return failed

    def _push(self, events, due_s, kind, address, id):
        heapq.heappush(events, (due_s, self.rng.random(), kind, address, id))


def test_targets_that_fail_at_once():
    """7 of 72 targets that fail all they get cost few requests.

    30 instances that learn by themselves lost 139 requests in 6 s.
    """
    broken = set(range(0, 70, 10))
    alone = _Fleet(shares=False).count_failures(broken, 6.0)
    shared = _Fleet().count_failures(broken, 6.0)
    assert shared < alone / 2
    assert shared <= 139 / 3


def test_lost_reports():
    """A third of the reports is lost; the next ones make up for them."""
    fleet = _Fleet()
    fleet.loss = 1 / 3
    assert fleet.count_failures(set(range(0, 70, 10)), 6.0) <= 139 / 2


def test_instance_that_is_cut_off():
    """One instance that sees all targets fail ejects none elsewhere."""
    fleet = _Fleet()
    fleet.suspect(['e0'], range(72))
    assert not fleet.balancers['e0'].make_load_report('e0', 1, {}).suspicions
    assert not fleet.list_ejected('e1', 0.1)


def test_word_of_an_instance_that_suspects_too_many():
    """A sender that doesn't withhold its suspicions is not believed."""
    fleet = _Fleet()
    for sender in ('e0', 'e2'):
        load = fleet.balancers[sender].make_load_report(sender, 1, {})
        load.suspicions = [
            messages.Suspicion(target=target.id, born_ms=1, failures=9)
            for target in fleet.targets[::2]
        ]
        fleet.balancers['e1'].loads.add_report(load, 0.0)
    assert not fleet.list_ejected('e1', 0.1)


def test_one_liar():
    """The word of one other instance ejects nothing."""
    fleet = _Fleet()
    fleet.suspect(['e0'], [4])
    assert not fleet.list_ejected('e1', 0.1)
    assert _get_health(fleet.balancers['e1']).is_suspected(fleet.targets[4])


def test_two_liars():
    """A sound target that two instances suspect returns by its response."""
    fleet = _Fleet()
    for step in range(40):
        now_s = step * 0.25
        fleet.suspect(['e0', 'e3'], [4], now_s)
        for address, balancer in fleet.balancers.items():
            if address in ('e0', 'e3'):
                continue
            ejected = fleet.list_ejected(address, now_s)
            if 4 not in ejected:
                balancer.record_success('t4', 'llm', 0.2, now_s)
                fleet.report(address, now_s)
        if now_s >= 2.0:
            assert not fleet.list_ejected('e1', now_s)


def test_liars_eject_a_third_at_most():
    """Instances that suspect sound targets eject a third of them at most."""
    fleet = _Fleet(targets=_make_targets(18))
    for first in range(3):
        suspecting = [f'e{first}', f'e{first + 3}']
        fleet.suspect(suspecting, range(first * 6, first * 6 + 3))
    assert len(fleet.list_ejected('e20', 0.1)) == 6


def test_failure_domain_that_is_suspected():
    """A domain that half of the instances can't reach is kept by others."""
    fleet = _Fleet()
    for number in range(24):
        fleet.suspect([f'e{number % 15}', f'e{number % 14 + 1}'], [number])
    assert not fleet.list_ejected('e29', 0.1)


def test_single_target_of_a_failure_domain():
    """A domain's only target of a service isn't ejected by others' word."""
    fleet = _Fleet(targets=_make_targets(3))
    fleet.suspect(['e0', 'e2', 'e3'], [1])
    assert not fleet.list_ejected('e1', 0.1)


def test_return_is_probed_by_few():
    """Two of 30 instances send a suspected target one request at a time."""
    fleet = _Fleet()
    fleet.suspect(['e0', 'e1', 'e2'], [4])
    for address in fleet.balancers:
        assert fleet.list_ejected(address, 0.05) == {4}
    now_s = const.EJECTION_MIN_S + 0.1
    probers = [
        address
        for address in fleet.balancers
        if 4 not in fleet.list_ejected(address, now_s)
    ]
    assert len(probers) == 2
    balancer = fleet.balancers[probers[0]]
    balancer.add_request('t4', 0)
    assert _get_health(balancer).is_ejected(fleet.targets[4], is_used=True)


def test_withdrawal():
    """A prober's complete response ends the ejection everywhere."""
    fleet = _Fleet()
    fleet.suspect(['e0', 'e1', 'e2'], [4])
    assert fleet.list_ejected('e9', 0.1) == {4}
    prober = fleet.balancers['e10']
    prober.refresh_health(0.1)
    prober.record_success('t4', 'llm', 0.2, 1.0)
    fleet.report('e10', 1.0)
    assert not fleet.list_ejected('e9', 1.1)
    fleet.list_ejected('e0', 1.1)
    assert not fleet.balancers['e0'].make_load_report('', 1, {}).suspicions


def test_response_to_an_earlier_request():
    """A broken target that finishes old requests isn't taken for sound."""
    fleet = _Fleet()
    fleet.suspect(['e0', 'e1', 'e2'], [4])
    assert fleet.list_ejected('e9', 0.1) == {4}
    fleet.balancers['e9'].record_success('t4', 'llm', 5.0, 1.0)
    fleet.report('e9', 1.0)
    assert fleet.list_ejected('e10', 1.1) == {4}


def test_suspicions_expire():
    """What isn't reported any more counts no longer than a load report."""
    fleet = _Fleet()
    fleet.suspect(['e0', 'e1', 'e2'], [4])
    later_s = loads_const.PEER_LOAD_TTL_S + 0.1
    assert not fleet.list_ejected('e9', later_s)


def test_earlier_run():
    """What was said of a target's earlier run doesn't hit its next one."""
    fleet = _Fleet()
    fleet.suspect(['e0', 'e1', 'e2'], [4])
    balancer = fleet.balancers['e9']
    balancer.set_targets(_make_targets(born_ms=2))
    fleet.targets = _make_targets(born_ms=2)
    assert not fleet.list_ejected('e9', 0.1)


def test_unknown_target():
    """A report about a target that doesn't exist changes nothing."""
    fleet = _Fleet()
    for sender in ('e0', 'e1', 'e2'):
        load = fleet.balancers[sender].make_load_report(sender, 1, {})
        load.suspicions = [
            messages.Suspicion(target='forged', born_ms=1, failures=1)
        ]
        fleet.balancers['e9'].loads.add_report(load, 0.0)
    assert not fleet.list_ejected('e9', 0.1)


def test_returned_target_is_not_first_choice():
    """A target without load that has just returned isn't hit by all."""
    fleet = _Fleet(targets=_make_targets(3))
    balancer = fleet.balancers['e0']
    balancer.record_failure('t0', 0.0)
    for id in ('t1', 't2'):
        balancer.add_request(id, 0)
    returned_s = const.EJECTION_MIN_S + 0.01
    assert _choose(balancer, returned_s) != 't0'
    later_s = returned_s + const.RETURN_PENALTY_END_S
    assert _choose(balancer, later_s) == 't0'


def test_second_attempt_avoids_suspected_target():
    """A request that failed once doesn't go to another suspected target."""
    fleet = _Fleet(targets=_make_targets(3))
    fleet.suspect(['e1'], [0])
    balancer = fleet.balancers['e0']
    for id in ('t1', 't2'):
        balancer.add_request(id, 0)
    assert _choose(balancer, 0.1) == 't0'
    assert _choose(balancer, 0.1, may_probe=False) != 't0'


def test_refusals_of_an_idle_target():
    """A target that refuses all it gets while it has room is reported."""
    fleet = _Fleet()
    balancer = fleet.balancers['e0']
    for _ in range(const.IDLE_REFUSALS_THRESHOLD):
        balancer.record_refusal('t4', 'llm', 0.0)
    (suspicion,) = balancer.make_load_report('e0', 1, {}).suspicions
    assert suspicion.target == 't4' and suspicion.is_refusing


def test_group_that_reopens():
    """What failed at a standstill of a group isn't held against its ranks."""
    ranks = _make_targets()
    for rank in ranks:
        rank.group, rank.is_group_open = 'g', False
    fleet = _Fleet()
    fleet.suspect(['e0', 'e1', 'e2'], [4])
    balancer = fleet.balancers['e9']
    balancer.refresh_health(0.0)
    balancer.set_targets(ranks)
    for rank in ranks:
        rank.is_group_open, rank.group_epoch = True, 2
    balancer.set_targets(ranks)
    assert not fleet.list_ejected('e9', 0.1)


def test_summary_of_a_failure_domain():
    """Suspicions and withdrawals cross failure domains as counts by run."""
    fleet = _Fleet()
    fleet.suspect(['e0', 'e3'], [4])
    relay = fleet.balancers['e6']
    exchange_state = exchange.LoadExchange(
        loads=relay.loads,
        own_address='e6',
        failure_domain='a',
        incarnation=1,
        boot_now_s=0.0,
    )
    exchange_state.set_instances({f'f{n}': 'b' for n in range(40)})
    for step in range(20):
        sends = exchange_state.tick(
            lambda: relay.make_load_report('e6', 1, {}), 0.05, step * 0.05
        )
    send = sends[0]
    summary = datagrams.unseal(b'k', datagrams.seal(b'k', send.message))
    assert summary.suspect_counts == [2]
    far = _Fleet().balancers['e1']
    far.loads.add_summary(summary, 0.1)
    far.refresh_health(0.1)
    assert _get_health(far).is_ejected(fleet.targets[4], is_used=False)
    summary.sequence += 1
    summary.sound_keys = summary.suspect_keys
    far.loads.add_summary(summary, 0.2)
    far.refresh_health(0.2)
    assert not _get_health(far).is_ejected(fleet.targets[4], is_used=False)


def test_report_is_bounded():
    """Many suspicions don't make a report too large for a datagram."""
    fleet = _Fleet(count=1, targets=_make_targets(660))
    fleet.suspect(['e0'], range(0, 660, 4))
    report = fleet.balancers['e0'].make_load_report('e0', 1, {})
    assert len(report.suspicions) == loads_const.MAX_SUSPICIONS


def test_disabled():
    """Without the setting nothing is reported, and no word counts."""
    fleet = _Fleet(shares=False)
    fleet.suspect(['e0'], [4])
    assert not fleet.balancers['e0'].make_load_report('e0', 1, {}).suspicions
