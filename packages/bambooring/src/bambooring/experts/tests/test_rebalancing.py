"""Switch maps on fake ranks whose orders get lost or come late."""

import heapq
import itertools
import random

import pytest

from bambooring.experts import progress
from bambooring.experts import rebalancing
from bambooring_core.ranks import messages

RANKS = 4
SETS = 2
EXPERTS = 8
ENGINE_SPEC = progress.EngineSpec(
    slots_per_rank=4, spare_slots=2, expert_share=0.85
)
TURN_S = 0.01
PASS_TURNS = 4
COPY_S = 0.1
# Callers accept 120 ms between two events: a pass and what a hold adds.
MOST_STALL_S = 0.12 - PASS_TURNS * TURN_S


class Engine:
    """Stand in for one rank, by the engines' published behaviour."""

    def __init__(self, rank):
        self.rank = rank
        self.layouts = {
            0: [list(range(rank, EXPERTS, RANKS)) for _ in range(SETS)]
        }
        self.version = 0
        self.highest = 0
        self.copying = None
        self.prepared = 0
        self.armed = None
        self.held = messages.NOT_HELD

    def obey(self, order, step, now_s):
        """Carry out an order; return whether it was accepted."""
        kind = messages.OrderKind
        match order.kind:
            case kind.PREPARE:
                if order.version <= self.highest or self.armed:
                    return False
                self.highest = order.version
                self.layouts[order.version] = [
                    one.ranks[self.rank].experts for one in order.sets
                ]
                self.prepared = 0
                self.copying = (order.version, now_s + COPY_S)
                return True
            case kind.ARM:
                if self.prepared != order.version or order.step <= step:
                    return False
                self.armed = (order.version, order.step)
                return True
            case kind.DISARM:
                if not self.armed or self.armed[0] != order.version:
                    return False
                self.armed = None
                return True
            case kind.HOLD:
                if order.step <= step or self.held != messages.NOT_HELD:
                    return False
                self.held = order.step
                return True
            case _:
                if self.held != order.step:
                    return False
                self.held = messages.NOT_HELD
                return True

    def tick(self, now_s):
        """Finish copying."""
        if self.copying and now_s >= self.copying[1]:
            self.prepared, self.copying = self.copying[0], None

    def begin(self, step):
        """Begin a pass, with the map that is armed for it."""
        if self.armed and self.armed[1] == step:
            self.version = self.armed[0]
            self.armed = None
            self.prepared = 0

    def describe(self, step):
        """Return what the rank says of itself."""
        return messages.RankState(
            target=f'rank-{self.rank}',
            service='llm',
            group='g',
            epoch=1,
            rank=self.rank,
            size=RANKS,
            is_open=True,
            step=step,
            version=self.version,
            prepared=self.prepared,
            armed=self.armed[0] if self.armed else 0,
            held=self.held,
            layout_version=self.version,
            layout=[
                messages.RankExperts(experts=experts)
                for experts in self.layouts[self.version]
            ],
        )


class Group:
    """Run the ranks in lock-step beside one or more coordinators."""

    def __init__(self, seed, *, late=0.0, lost_state=0.0):
        self.rng = random.Random(seed)
        self.late = late
        self.lost_state = lost_state
        self.engines = [Engine(rank) for rank in range(RANKS)]
        self.coordinators = []
        self.now_s = 0.0
        self.turn = 0
        self.step = 0
        self.pass_turn = 0
        self.stalled_s = 0.0
        self.longest_s = 0.0
        self.switches = 0
        self.notes = []
        self.queue = []
        self.numbers = itertools.count()

    def lead(self, term):
        """Let a coordinator of a term begin."""
        found = rebalancing.Rebalancer(
            group='g', term=term, engine_spec=ENGINE_SPEC
        )
        self.coordinators.append(found)
        return found

    def later(self, delay_s, action):
        """Run an action after a delay."""
        due = (self.now_s + delay_s, next(self.numbers), action)
        heapq.heappush(self.queue, due)

    def carry_out(self, coordinator, effects):
        """Send orders off; note the rest."""
        for effect in effects:
            if isinstance(effect, progress.ReportEvent):
                self.notes.append(effect.event)
                continue
            self.later(
                self.rng.uniform(0.001, 0.02),
                lambda order=effect.order, target=effect.target: self.deliver(
                    coordinator, target, order
                ),
            )

    def deliver(self, coordinator, target, order):
        """Let an engine obey now, or later and without an answer."""
        engine = self.engines[int(target.rpartition('-')[2])]
        if self.rng.random() < self.late:
            self.later(
                self.rng.uniform(2, 12),
                lambda: engine.obey(order, self.step, self.now_s),
            )
            outcome = messages.Outcome.UNKNOWN
        elif engine.obey(order, self.step, self.now_s):
            outcome = messages.Outcome.DONE
        else:
            outcome = messages.Outcome.REFUSED
        done = messages.RankOrderDone(
            order=order.order,
            outcome=outcome,
            state=engine.describe(self.step),
        )
        if self.rng.random() >= self.lost_state:
            self.later(0.005, lambda: self.answer(coordinator, done))

    def answer(self, coordinator, done):
        """Bring an outcome back, if its coordinator still leads."""
        if coordinator in self.coordinators:
            self.carry_out(
                coordinator, coordinator.take_done(done, self.now_s)
            )

    def add_demand(self, coordinator):
        """Report demand that prefers a few experts for some seconds."""
        hot = int(self.now_s / 3) % EXPERTS
        row = [30 if one == hot else 3 for one in range(EXPERTS)]
        demand = messages.RankDemand(
            target='rank-0',
            group='g',
            epoch=1,
            rank=0,
            sets=SETS,
            packed=messages.pack_counts(row * SETS),
        )
        coordinator.demand.add(demand, self.now_s)

    def run_turn(self):
        """Let a little time pass."""
        self.turn += 1
        self.now_s = self.turn * TURN_S
        for engine in self.engines:
            engine.tick(self.now_s)
        while self.queue and self.queue[0][0] <= self.now_s:
            heapq.heappop(self.queue)[2]()
        self.run_pass()
        for coordinator in self.coordinators:
            self.watch(coordinator)

    def watch(self, coordinator):
        """Bring a coordinator its reports and the time."""
        if self.turn % 10 == 0:
            self.add_demand(coordinator)
            for engine in self.engines:
                state = engine.describe(self.step)
                if self.rng.random() >= self.lost_state:
                    self.carry_out(
                        coordinator,
                        coordinator.take_state(state, self.now_s),
                    )
        self.carry_out(coordinator, coordinator.tick(self.now_s))

    def run_pass(self):
        """Begin the next pass unless a rank holds it; compare the maps."""
        self.pass_turn += 1
        if self.pass_turn < PASS_TURNS:
            return
        if any(one.held == self.step + 1 for one in self.engines):
            self.stalled_s += TURN_S
            self.longest_s = max(self.longest_s, self.stalled_s)
            return
        self.stalled_s = 0.0
        self.pass_turn = 0
        self.step += 1
        before = self.engines[0].version
        for engine in self.engines:
            engine.begin(self.step)
        versions = {engine.version for engine in self.engines}
        assert len(versions) == 1, (self.step, versions)
        self.switches += versions != {before}

    def run(self, seconds):
        """Run for a while."""
        for _ in range(round(seconds / TURN_S)):
            self.run_turn()


def test_switch_follows_demand():
    """A calm group gets a new map within a second and never stalls."""
    group = Group(1)
    group.lead(1)
    group.run(1.5)
    assert group.switches == 1
    group.run(10)
    assert group.switches >= 3
    assert group.longest_s <= MOST_STALL_S


def test_switches_go_on_while_orders_come_late():
    """Orders are given again, so a few late ones don't end a switch.

    The pattern: a third of all orders gets no answer for some seconds, and
    demand shifts meanwhile; with many ranks hardly any try is free of that.
    """
    group = Group(3, late=0.33)
    group.lead(1)
    group.run(30)
    begun = group.notes.count('switch begins')
    assert begun >= 10
    assert group.switches >= 0.8 * begun


@pytest.mark.parametrize('late', [0.2, 0.6])
@pytest.mark.parametrize('seed', range(30))
def test_late_orders_never_mix_maps(seed, late):
    """Orders without an answer come late; no pass sees two maps."""
    group = Group(seed, late=late, lost_state=0.05)
    group.lead(1)
    group.run(60)
    _check_calm(group)


@pytest.mark.parametrize('seed', range(30))
def test_coordinators_in_series_and_at_once(seed):
    """Coordinators die in mid-switch, and two may lead for a while."""
    group = Group(seed, late=0.1, lost_state=0.05)
    for term in range(1, 25):
        group.lead(term)
        if len(group.coordinators) > 1 and group.rng.random() < 0.6:
            del group.coordinators[0]
        group.run(group.rng.uniform(0.3, 3))
        while len(group.coordinators) > 2:
            del group.coordinators[0]
    group.coordinators = group.coordinators[-1:]
    _check_calm(group)


def _check_calm(group):
    """Check that once nothing is lost any more, nothing stays held."""
    group.late = 0.0
    group.lost_state = 0.0
    group.run(20)
    group.longest_s = 0.0
    group.run(10)
    assert group.longest_s <= MOST_STALL_S, group.notes[-10:]


def test_mixed_maps_without_outdating(monkeypatch):
    """Without outdating, an order to arm that comes late mixes maps."""
    monkeypatch.setattr(
        rebalancing.Rebalancer, '_is_doubtful', lambda self, state: False
    )
    with pytest.raises(AssertionError):
        for seed in range(30):
            group = Group(seed, late=0.6, lost_state=0.05)
            group.lead(1)
            group.run(60)
