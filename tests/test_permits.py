"""Keep cold targets under their limit, whatever instances know or suffer."""

import itertools
import random

import pytest

from bambooring.balancing import permits as permits_module
from bambooring.gateway import messages as gateway
from bambooring.gateway import permits as requester_module
from bambooring_agent.permits import state as ledger_module
from bambooring_agent.permits import task as issuer_module
from bambooring_core import clock as clock_module
from bambooring_core.permits import const as permits_const
from bambooring_core.permits import messages
from bambooring_core import reactor as reactor_module
from tests import permit_fleet

# What the first deployment states for one cold target.
RATE_PER_S = 23.0


def _check_limit(fleet):
    for target in fleet.targets:
        arrivals = fleet.arrivals[target.id]
        assert permit_fleet.find_highest_count(arrivals) <= permit_fleet.LIMIT


@pytest.mark.parametrize('rate_per_s', [8.0, 14.0])
def test_crest(rate_per_s):
    """72 instances want more than 22 targets of a domain that restarted give.

    Once the agents grant permits, each target gets its rate and no more than
    its limit, though no instance knows the load of another.
    """
    fleet = permit_fleet.Fleet(
        seed=1,
        entry_count=72,
        target_list=[permit_fleet.make_target(i) for i in range(22)],
        rate_per_s=rate_per_s,
    )
    opening_s = permits_const.GRANT_WINDOW_S
    duration_s = 4.0
    fleet.run(opening_s + duration_s)
    _check_limit(fleet)
    counts = [len(fleet.arrivals[target.id]) for target in fleet.targets]
    assert sum(counts) / len(counts) >= RATE_PER_S * duration_s


@pytest.mark.parametrize('seed', range(24))
def test_faults(seed):
    """Lost, late and repeated datagrams, restarts, and suspended machines."""
    fleet = permit_fleet.Fleet(
        seed=seed,
        entry_count=9,
        target_list=[
            permit_fleet.make_target(i, 'abc'[i % 3]) for i in range(3)
        ],
        rate_per_s=20.0,
    )
    rng = fleet.rng
    fleet.loss = rng.choice((0.0, 0.1, 0.5))
    fleet.late_share = rng.choice((0.0, 0.1, 0.9))

    def break_something():
        fleet.at(rng.uniform(0.05, 0.8), break_something)
        entry = rng.choice(fleet.entries)
        match rng.randrange(4):
            case 0:
                fleet.restart_agent(rng.choice(fleet.targets).id)
            case 1:
                # A machine whose clock was set may have a lower number.
                entry.incarnation += rng.choice((-3, 4))
                entry.start()
            case 2:
                entry.frozen_until_s = fleet.clock.now() + rng.uniform(0, 2)
            case 3:
                cut_domain = rng.choice('abc.')
                fleet.is_cut = lambda one, other: (
                    one != other and cut_domain in (one, other)
                )

    break_something()
    fleet.run(10.0)
    _check_limit(fleet)
    assert sum(map(len, fleet.arrivals.values())) > 0


@pytest.mark.parametrize('seed', range(20))
def test_latest_use_before_earliest(seed):
    """Permits of one spell are used as late as possible, then at once.

    The agent restarts at any moment.
    """
    rng = random.Random(seed)
    now_s, sequence, arrivals = 0.0, 0, []
    ledger = ledger_module.PermitLedger(now_s)
    latest_s = permits_const.PERMIT_TTL_S + permits_const.TRANSIT_ALLOWANCE_S
    while now_s < 30.0:
        delay_s = rng.choice((0.0, latest_s))
        if rng.random() < 0.2:
            ledger = ledger_module.PermitLedger(now_s)
        end_s = now_s + rng.uniform(0.1, 2.0)
        while now_s < end_s:
            now_s += 0.01
            sequence += 1
            request = messages.PermitRequest(
                sender='s',
                incarnation=1,
                sequence=sequence,
                target_id='t',
                born_ms=1,
                limit_per_s=permit_fleet.LIMIT,
                wanted=4,
            )
            count = ledger.handle(request, now_s).count
            arrivals += [now_s + delay_s] * count
    highest = permit_fleet.find_highest_count(arrivals)
    assert 0 < highest <= permit_fleet.LIMIT


@pytest.mark.parametrize('seed', range(6))
def test_warm_targets_become_cold_at_once(seed):
    """Permits don't add to what was sent before all instances knew.

    Each instance learns it from a heartbeat, and some before from a response.
    """
    fleet = permit_fleet.Fleet(
        seed=seed,
        entry_count=12,
        target_list=[permit_fleet.make_target(i, cold_ms=0) for i in range(4)],
        rate_per_s=10.0,
    )
    fleet.run(3.0)
    for index, entry in itertools.product(range(4), fleet.entries):
        cold = permit_fleet.make_target(index, sequence=2)

        def announce(cold=cold, entry=entry):
            entry.cold.record_announcement(cold, fleet.clock.now())

        def state(cold=cold, entry=entry):
            entry.cold.record_statement(cold, 60_000, fleet.clock.now())

        fleet.at(fleet.rng.uniform(0.9, 1.2), announce)
        if fleet.rng.random() < 0.3:
            fleet.at(fleet.rng.uniform(0.0, 1.0), state)
    fleet.run(5.0)
    for target in fleet.targets:
        last_warm_s = fleet.warm_arrivals[target.id][-1]
        cold_arrivals = [
            arrived_s
            for arrived_s in fleet.arrivals[target.id]
            if arrived_s > last_warm_s
        ]
        assert len(fleet.arrivals[target.id]) == len(cold_arrivals) + len(
            fleet.warm_arrivals[target.id]
        )
        gap_s = cold_arrivals[0] - last_warm_s
        assert gap_s >= permits_const.LIMIT_WINDOW_S
        assert (
            permit_fleet.find_highest_count(cold_arrivals)
            <= permit_fleet.LIMIT
        )


def test_domain_that_is_cut_off_reaches_its_own_agents():
    """Its targets get their rate from its own instances."""
    fleet = permit_fleet.Fleet(
        seed=2,
        entry_count=24,
        target_list=[permit_fleet.make_target(i, 'a') for i in range(4)],
        rate_per_s=20.0,
    )
    fleet.is_cut = lambda one, other: one != other
    fleet.run(permits_const.GRANT_WINDOW_S + 4.0)
    _check_limit(fleet)
    counts = [len(fleet.arrivals[target.id]) for target in fleet.targets]
    assert sum(counts) / len(counts) >= RATE_PER_S * 4.0


class _Dispatcher:
    """Have two requests wait until they may be sent."""

    def __init__(self):
        self.has_dispatched = False

    def count_queued(self):
        """Return how many requests wait."""
        return {'llm': 2}

    def dispatch_queued(self):
        """Record that permits have come."""
        self.has_dispatched = True


def test_datagrams_of_both_tasks():
    """A request and its grant pass between the processes' own sockets."""
    clock = clock_module.ManualClock(1000.0)
    target = permit_fleet.make_target(1, address='127.0.0.1:80')
    cold = permits_module.ColdTargets('a', clock)
    dispatcher = _Dispatcher()
    key = gateway.derive_link_key('c')
    with (
        reactor_module.Reactor() as reactor,
        issuer_module.PermitIssuer(
            reactor=reactor,
            address='127.0.0.1:0',
            key=key,
            boot_clock=clock,
        ) as issuer,
    ):
        issuer.set_up()
        clock.advance(permits_const.GRANT_WINDOW_S)
        settings = gateway.Settings(
            role='entry',
            cluster='c',
            instance='e',
            failure_domain='a',
            link_address='127.0.0.1:7002',
            seeds=[],
            may_bootstrap=False,
            cold_overrun=1.5,
            cold_slack=5.0,
            agent_port=issuer.port,
        )
        with requester_module.PermitRequester(
            settings=settings,
            reactor=reactor,
            cold=cold,
            incarnation=7,
            rng=random.Random(1),
            dispatcher=dispatcher,
        ) as requester:
            requester.set_up()
            requester.set_services([permit_fleet.SERVICE])
            cold.record_announcement(target, reactor.now())
            assert not cold.withhold('llm', [target], reactor.now())
            cold.record_demand('llm', [target], is_blocked=True)
            for _ in range(2000):
                if dispatcher.has_dispatched:
                    break
                reactor.call_later(0.001, lambda: None)
                reactor.run_once()
        assert cold.withhold('llm', [target], reactor.now()) == [target]
        assert [cold.take_permit(target).is_valid() for _ in range(3)] == [
            True,
            True,
            False,
        ]
