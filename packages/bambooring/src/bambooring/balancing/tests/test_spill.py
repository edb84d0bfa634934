"""Test which requests leave their failure domain, and for where."""

import collections
import random

from bambooring.balancing import const
from bambooring.balancing import messages as balancing
from bambooring.balancing import spill
from bambooring.balancing import state
from bambooring.loads import const as loads_const
from bambooring.targets import messages

DURATION_S = 0.5
PRICE_S = 0.003


def _make_target(id, domain, slots=6, group=''):
    return messages.Target(
        id=id,
        service='tool',
        address='10.0.0.1:80',
        failure_domain=domain,
        slots=slots,
        state=messages.State.READY,
        born_ms=1,
        sequence=1,
        group=group,
    )


def _compute(own, views, price_s=PRICE_S):
    return spill.compute_leaving(
        own,
        {
            domain: spill.DomainView(
                capacity=capacity,
                demand=demand or 0.0,
                is_known=demand is not None,
            )
            for domain, (capacity, demand) in views.items()
        },
        duration_s=DURATION_S,
        price_s=price_s,
    )


class _Domains:
    """Failure domains that decide on delayed views of each other's demand.

    Requests arrive, wait and are served as in a fluid. Each domain's instances
    follow one plan, as they all do with the same reports.
    """

    step_s = 0.05

    def __init__(self, capacity, rates, delay_s=0.2, noise=0.0, seed=1):
        self.capacity = dict(capacity)
        self.rates = dict(rates)
        self.duration_s = dict.fromkeys(capacity, DURATION_S)
        self.plans = {domain: spill.Plan() for domain in rates}
        self.now_s = 0.0
        # By origin and place.
        self.load: collections.Counter[tuple[str, str]] = collections.Counter()
        self.history = [dict.fromkeys(rates, 0.0)]
        self._delay = round(delay_s / self.step_s)
        self._noise = noise
        self._rng = random.Random(seed)
        self._smoother = spill.Spill('', 0.0)

    def run(self, duration_s):
        """Advance; return the greatest and smallest share of each domain."""
        shares = collections.defaultdict(list)
        for _ in range(round(duration_s / self.step_s)):
            self.now_s += self.step_s
            self._decide()
            self._serve()
            for domain, plan in self.plans.items():
                shares[domain].append(plan.share)
            self._check_no_exchange()
        return {
            domain: (min(values), max(values))
            for domain, values in shares.items()
        }

    def _decide(self):
        old = self.history[max(0, len(self.history) - 1 - self._delay)]
        for domain, plan in self.plans.items():
            views = {
                other: (
                    self.capacity[other] * DURATION_S / self.duration_s[other],
                    (self.history[-1] if other == domain else old)[other],
                )
                for other in self.capacity
            }
            share, weights = _compute(domain, views)
            self._smoother._smooth(plan, share, weights, self.now_s)

    def _serve(self):
        for origin, rate in self.rates.items():
            plan = self.plans[origin]
            arrived = rate * self.step_s
            if self._noise:
                arrived *= 1 + self._rng.uniform(-self._noise, self._noise)
            self.load[origin, origin] += arrived * (1 - plan.share)
            for place, weight in plan.weights.items():
                self.load[origin, place] += arrived * plan.share * weight
        for place, capacity in self.capacity.items():
            here = {o: self.load[o, place] for o in self.rates}
            total = sum(here.values())
            served = min(total, capacity) / self.duration_s[place]
            for origin, count in here.items():
                if total:
                    done = served * self.step_s * count / total
                    self.load[origin, place] = max(0.0, count - done)
        self.history.append(
            {
                origin: sum(self.load[origin, p] for p in self.capacity)
                for origin in self.rates
            }
        )

    def _check_no_exchange(self):
        for a, plan in self.plans.items():
            for b, other in self.plans.items():
                if a < b and self.now_s > 1.0:
                    sent = plan.share * plan.weights.get(b, 0.0)
                    back = other.share * other.weights.get(a, 0.0)
                    assert min(sent, back) < const.MIN_KEPT_SHARE


def test_equal_domains():
    """Domains with the same load per slot send each other nothing."""
    views = {'a': (12, 10), 'b': (6, 5), 'c': (6, 5)}
    for domain in views:
        assert _compute(domain, views)[0] == 0


def test_small_difference():
    """A difference that waiting doesn't cost as much as leaving is kept."""
    views = {'a': (144, 60), 'b': (144, 40)}
    assert _compute('a', views)[0] == 0


def test_price_of_bytes():
    """The higher the price of the bytes, the fewer requests leave."""
    views = {'a': (12, 24), 'b': (12, 2)}
    shares = [_compute('a', views, price)[0] for price in (0.003, 0.1, 0.4)]
    assert shares[0] > shares[1] > shares[2] > 0
    assert _compute('a', views, 2.0)[0] == 0


def test_sent_work_fits():
    """What overloaded domains send is no more than the others' room."""
    views = {'a': (12, 30), 'b': (12, 20), 'c': (12, 4)}
    sent = sum(
        _compute(domain, views)[0] * demand
        for domain, (_, demand) in views.items()
    )
    mean = sum(demand for _, demand in views.values()) / 36
    assert 0 < sent <= 12 * mean - 4


def test_evacuated_domain():
    """Without usable targets of its own a domain sends all of its work."""
    share, weights = _compute('a', {'a': (0, 5), 'b': (6, 2), 'c': (6, 2)})
    assert share == 1 and abs(weights['b'] - 0.5) < 0.01


def test_all_domains_evacuated():
    """Without any capacity there is nowhere to go."""
    assert _compute('a', {'a': (0, 5), 'b': (0, 2)}) == (0.0, {})


def test_domain_that_is_cut_off():
    """A domain of whose load nothing is known gets nothing by shares."""
    views = {'a': (6, 20), 'b': (6, None), 'c': (6, 1)}
    assert set(_compute('a', views)[1]) == {'c'}
    assert _compute('a', {'a': (6, 20), 'b': (6, None)}) == (0.0, {})


def test_single_domain():
    """With one failure domain nothing leaves."""
    assert _compute('a', {'a': (6, 20)}) == (0.0, {})


def test_uneven_targets_settle():
    """Of targets (2, 1, 1) the double domain serves the others' excess."""
    domains = _Domains({'a': 12, 'b': 6, 'c': 6}, {'a': 10, 'b': 11, 'c': 11})
    domains.run(6.0)
    shares = domains.run(6.0)
    assert shares['a'] == (0.0, 0.0)
    for domain in 'bc':
        low, high = shares[domain]
        assert high - low < 0.02
    assert all(count < 8 for count in domains.load.values())


def test_uneven_callers_settle():
    """Demand of entry instances as (12, 9, 9) is spread with noise."""
    domains = _Domains(
        {'a': 6, 'b': 6, 'c': 6}, {'a': 14, 'b': 9, 'c': 9}, noise=0.5
    )
    domains.run(6.0)
    shares = domains.run(6.0)
    assert 0 < shares['a'][0] and shares['a'][1] - shares['a'][0] < 0.15
    assert shares['b'][1] == shares['c'][1] == 0


def test_callers_that_move():
    """Half of a domain's callers move to another within two seconds."""
    domains = _Domains(
        {'a': 12, 'b': 12, 'c': 12}, {'a': 20.0, 'b': 18.0, 'c': 18.0}
    )
    domains.run(5.0)
    for _ in range(20):
        domains.rates['a'] -= 0.5
        domains.rates['b'] += 0.5
        domains.run(0.1)
    domains.run(3.0)
    shares = domains.run(3.0)
    assert shares['a'][1] == shares['c'][1] == 0
    assert 0.05 < shares['b'][0] and shares['b'][1] - shares['b'][0] < 0.03
    assert domains.history[-1]['b'] < 1.2 * 28 * DURATION_S


def test_slow_domain():
    """A domain whose targets all take three times as long sheds its work."""
    domains = _Domains(
        {'a': 12, 'b': 12, 'c': 12}, {'a': 12.0, 'b': 8.0, 'c': 8.0}
    )
    domains.run(5.0)
    domains.duration_s['a'] = 3 * DURATION_S
    domains.run(5.0)
    shares = domains.run(5.0)
    assert 0.2 < shares['a'][0] and shares['a'][1] - shares['a'][0] < 0.05
    assert domains.load['a', 'a'] < 12


def test_overload_everywhere():
    """When all are overloaded, the more loaded ones still send the excess."""
    views = {'a': (12, 40), 'b': (12, 20)}
    assert 0 < _compute('a', views)[0] < 0.25
    assert _compute('b', views)[0] == 0


def _make_balancer(targets, instances, **settings):
    balancer = state.Balancer(
        'a', random.Random(1), prefers_own_domain=True, **settings
    )
    balancer.set_targets(targets)
    balancer.set_instances(instances)
    return balancer


def _report(balancer, sender, running=(), waiting=0, now_s=0.0, sequence=1):
    balancer.loads.add_report(
        messages.Load(
            sender=sender,
            incarnation=1,
            sequence=sequence,
            targets=[
                messages.TargetLoad(target=id, running=count, tokens=0)
                for id, count in dict(running).items()
            ],
            services=[messages.ServiceLoad(service='tool', waiting=waiting)],
        ),
        now_s,
    )


def _choose(balancer, now_s=0.0, **options):
    choice = balancer.choose(
        balancing.TargetQuery(service='tool', **options), now_s
    )
    return choice.target.id if choice else None


PLAIN = [_make_target(f'{domain}1', domain) for domain in 'abc']
INSTANCES = {'e2': 'a', 'e3': 'b', 'e4': 'c'}


def test_own_target_goes_first():
    """A request stays though targets elsewhere have less load."""
    balancer = _make_balancer(PLAIN, INSTANCES)
    for sender in INSTANCES:
        _report(balancer, sender)
    balancer.add_request('a1', 0)
    assert _choose(balancer) == 'a1'


def test_full_home():
    """A request leaves for a free slot rather than wait at home."""
    balancer = _make_balancer(PLAIN, INSTANCES)
    _report(balancer, 'e2', {'a1': 6})
    _report(balancer, 'e3', {'b1': 4})
    _report(balancer, 'e4', {'c1': 5})
    assert _choose(balancer) == 'b1'


def test_dear_bytes_wait_at_home():
    """A large request waits for as long as its bytes are worth."""
    balancer = _make_balancer(PLAIN, INSTANCES, byte_cost_s_per_mb=0.3)
    _report(balancer, 'e2', {'a1': 7})
    _report(balancer, 'e3')
    _report(balancer, 'e4')
    assert _choose(balancer, request_bytes=10_000) in ('b1', 'c1')
    assert _choose(balancer, request_bytes=3_000_000) is None
    assert _choose(balancer, request_bytes=3_000_000, waited_s=1.0) is not None


def test_failed_home_target():
    """A second attempt doesn't wait for the home target that failed it."""
    balancer = _make_balancer(PLAIN, INSTANCES, byte_cost_s_per_mb=9.0)
    for sender in INSTANCES:
        _report(balancer, sender)
    choice = balancer.choose(
        balancing.TargetQuery(
            service='tool', excluded_ids={'a1'}, request_bytes=3_000_000
        ),
        0.0,
    )
    assert choice is not None


def test_suspected_home_target():
    """A second attempt leaves a home whose only target is suspected."""
    balancer = _make_balancer(PLAIN, INSTANCES, shares_health=True)
    for sender in INSTANCES:
        _report(balancer, sender)
    balancer.loads.add_report(
        messages.Load(
            sender='e2',
            incarnation=1,
            sequence=2,
            targets=[],
            services=[],
            suspicions=[
                messages.Suspicion(target='a1', born_ms=1, failures=1)
            ],
        ),
        0.0,
    )
    assert _choose(balancer) == 'a1'
    assert _choose(balancer, may_probe=False) in ('b1', 'c1')


def test_domain_without_targets():
    """A service without targets in the own domain is served elsewhere."""
    balancer = _make_balancer(PLAIN[1:], INSTANCES)
    assert _choose(balancer) in ('b1', 'c1')


def test_without_reports():
    """An instance that hears nothing uses its own domain's targets."""
    balancer = _make_balancer(PLAIN, INSTANCES)
    for _ in range(7):
        assert _choose(balancer) == 'a1'
        balancer.add_request('a1', 0)
    assert _choose(balancer) is None
    assert _choose(balancer, waited_s=1.0) in ('b1', 'c1')


def test_reports_expire():
    """A domain that falls silent counts as cut off after the TTL."""
    balancer = _make_balancer(PLAIN, INSTANCES)
    _report(balancer, 'e3')
    _report(balancer, 'e2', {'a1': 7}, now_s=0.0)
    assert _choose(balancer) == 'b1'
    later_s = loads_const.PEER_LOAD_TTL_S + 0.1
    _report(balancer, 'e2', {'a1': 7}, now_s=later_s, sequence=2)
    assert _choose(balancer, later_s) is None


def test_unknown_domains():
    """Instances and targets without a domain change nothing."""
    balancer = _make_balancer(
        [*PLAIN, _make_target('x1', '')], {'e2': '', 'e3': ''}
    )
    _report(balancer, 'e2', {'a1': 1, 'x1': 2})
    assert _choose(balancer) == 'a1'
    nowhere = state.Balancer('', random.Random(1), prefers_own_domain=True)
    nowhere.set_targets(PLAIN)
    assert nowhere.spill is None and _choose(nowhere) is not None


def test_share_of_waiting_callers():
    """Requests that wait at home's instances make a share leave, logged."""
    balancer = _make_balancer(PLAIN, INSTANCES)
    _report(balancer, 'e2', {'a1': 5}, waiting=9)
    _report(balancer, 'e3', {'b1': 1})
    _report(balancer, 'e4', {'c1': 2})
    chosen = collections.Counter(_choose(balancer) for _ in range(300))
    assert 0.4 < 1 - chosen['a1'] / 300 < 0.75
    assert chosen['b1'] > chosen['c1'] > 0
    assert balancer.spill is not None
    (change,) = balancer.spill.take_changes()
    assert change.views['a'].demand == 14 and change.report_age_s == 0.0


def test_even_ranks_go_before_bytes():
    """A rank elsewhere with one request less goes before the own ones."""
    ranks = [_make_target(f'{d}1', d, slots=5, group='g') for d in 'ab']
    balancer = _make_balancer(ranks, INSTANCES)
    assert _choose(balancer) == 'a1'
    balancer.add_request('a1', 0)
    assert _choose(balancer) == 'b1'


def test_ties_of_ranks():
    """The own domain goes before some unread tokens, not before many."""
    ranks = [_make_target(f'{d}1', d, slots=5, group='g') for d in 'ab']
    balancer = _make_balancer(ranks, INSTANCES)
    balancer.add_request('b1', 0)
    balancer.add_request('a1', const.GROUP_TIE_TOKENS // 2)
    assert _choose(balancer) == 'a1'
    balancer.record_prompt_read('a1', const.GROUP_TIE_TOKENS // 2)
    balancer.remove_request('a1', 0)
    balancer.add_request('a1', const.GROUP_TIE_TOKENS * 2)
    assert _choose(balancer) == 'b1'


def test_disabled():
    """Without the setting the least loaded target anywhere is chosen."""
    balancer = state.Balancer('a', random.Random(1))
    balancer.set_targets(PLAIN)
    balancer.add_request('a1', 0)
    assert _choose(balancer) in ('b1', 'c1')
