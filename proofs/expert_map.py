"""Prove that in no step two ranks of a group use different maps.

Ranks run in lock-step and stall; orders and answers are lost, repeated and
late; leaders change in mid-switch and old ones go on giving orders; agents
restart and lose all they knew; some engines check fencing numbers, others
ignore them.
"""

import collections.abc
import dataclasses
import typing

from bambooring.experts import messages as experts
from bambooring.experts import state as experts_state
from bambooring.experts import switch as switch_module
from bambooring_agent.orders import messages as agent_messages
from bambooring_agent.orders import state as orders_state
from bambooring_core import codec
from bambooring_core.orders import messages as orders
from proofs import world as world_module

DEFAULT_STEPS = 60_000
RANKS = 6
REPLICAS = ('control-1', 'control-2', 'control-3')
GROUP = 'rota-group'
STEP_S = 0.02
TICK_S = 0.05
SWITCH_S = 1.5
COMMIT_S = 0.01


class Engine:
    """Stand in for one rank's engine, which holds at an armed step."""

    def __init__(self, checks_fencing: bool) -> None:
        self.checks_fencing = checks_fencing
        self.step = 0
        self.in_force = 0
        self.armed = 0
        self.armed_step = 0
        self.next_map: int | None = None
        self.fence = 0
        self.stalled_until = 0.0

    def read_state(self) -> agent_messages.EngineState:
        """Return the engine's state."""
        return agent_messages.EngineState(
            step=self.step, in_force=self.in_force, armed=self.armed
        )

    def stage(self, switch: int, expert_map: bytes) -> None:
        """Load what a map needs."""

    def arm(self, switch: int, step: int, fence: int) -> bool:
        """Promise to hold at a step."""
        if self.checks_fencing and fence < self.fence:
            return False
        self.fence = max(self.fence, fence)
        if self.step >= step or self.next_map is not None:
            return False
        self.armed, self.armed_step = switch, step
        return True

    def decide(self, switch: int, is_commit: bool) -> None:
        """Take the decision on the armed switch."""
        if is_commit:
            self.next_map = switch
        self.armed = 0

    def begin_step(self) -> int | None:
        """Return the map for the next step, or None while it holds."""
        if self.armed and self.step >= self.armed_step:
            return None
        if self.next_map is not None and self.step >= self.armed_step:
            self.in_force, self.next_map = self.next_map, None
        return self.in_force


@dataclasses.dataclass(slots=True, kw_only=True)
class Replica:
    """Hold one control replica: its part of the log and its leading."""

    name: str
    switches: experts_state.SwitchStore
    applied: int = 0
    term: int = 0
    coordinator: switch_module.Coordinator | None = None
    is_cut: bool = False


class ExpertMapProof:
    """Switch maps under faults and compare them step by step."""

    def __init__(self, world: world_module.World) -> None:
        self.world = world
        self.engines = [
            Engine(checks_fencing=rank % 2 == 0) for rank in range(RANKS)
        ]
        self.agents = [self.make_agent(rank) for rank in range(RANKS)]
        self.replicas = {
            name: Replica(name=name, switches=experts_state.SwitchStore())
            for name in REPLICAS
        }
        self.log: list[experts.Decide] = []
        self.term = 0
        self.leader = ''
        self.used: dict[int, int] = {}
        self.loss = 0.1
        self.faults_on = True

    def make_agent(self, rank: int) -> orders_state.RankOrderHandler:
        """Make a rank's agent, which knows nothing yet."""
        return orders_state.RankOrderHandler(
            group=GROUP,
            rank=rank,
            replica_count=len(REPLICAS),
            engine=self.engines[rank],
        )

    def run(self, steps: int) -> None:
        """Run under faults, then heal and require a switch."""
        self.elect()
        self.world.schedule(0.0, self.tick)
        self.world.schedule(1.0, self.switch)
        self.world.schedule(1.0, self.draw_fault)
        for rank in range(RANKS):
            self.world.schedule(0.0, lambda rank=rank: self.step(rank))
        self.world.run_steps(steps)
        self.faults_on = False
        self.loss = 0.0
        for replica in self.replicas.values():
            replica.is_cut = False
        for engine in self.engines:
            engine.stalled_until = 0.0
        before = self.world.facts['committed']
        self.world.run_for(40.0)
        self.world.facts['steps_run'] = len(self.used)
        self.world.check(
            self.world.facts['committed'] > before, 'no switch after healing'
        )

    # The group.

    def step(self, rank: int) -> None:
        """Let a rank run its next step, in lock-step with the others."""
        engine = self.engines[rank]
        delay_s = STEP_S * self.world.rng.uniform(0.5, 1.5)
        self.world.schedule(delay_s, lambda: self.step(rank))
        slowest = min(other.step for other in self.engines)
        if engine.stalled_until > self.world.now or engine.step > slowest:
            return
        used = engine.begin_step()
        if used is None:
            self.world.facts['held'] += 1
            return
        known = self.used.setdefault(engine.step, used)
        self.world.check(
            known == used,
            f'step {engine.step}: rank {rank} uses map {used},'
            f' another {known}',
        )
        engine.step += 1

    # Control.

    def elect(self) -> None:
        """Let another replica lead; the old one may not notice."""
        candidates = [
            name for name in REPLICAS if not self.replicas[name].is_cut
        ]
        self.leader = self.world.rng.choice(candidates)
        self.term += 1
        replica = self.replicas[self.leader]
        replica.term = self.term
        self.catch_up(replica)
        replica.coordinator = switch_module.Coordinator(
            group=GROUP,
            rank_count=RANKS,
            term=self.term,
            switches=replica.switches,
        )
        for other in self.replicas.values():
            if not other.is_cut:
                other.term = self.term

    def catch_up(self, replica: Replica) -> list[experts.Decided]:
        """Let a replica apply what the log holds."""
        decided = [
            replica.switches.decide(command)
            for command in self.log[replica.applied :]
        ]
        replica.applied = len(self.log)
        return decided

    def tick(self) -> None:
        """Let every process do what is due."""
        self.world.schedule(TICK_S, self.tick)
        for replica in self.replicas.values():
            if replica.coordinator is not None:
                self.carry_out(
                    replica, replica.coordinator.tick(self.world.now)
                )
            if not replica.is_cut:
                self.tell_decided(replica)
        for rank, agent in enumerate(self.agents):
            self.send_up(rank, agent.tick(self.world.now))

    def tell_decided(self, replica: Replica) -> None:
        """Let a replica apply, and tell the ranks if it leads."""
        for decided in self.catch_up(replica):
            if replica.coordinator is not None:
                self.carry_out(
                    replica, replica.coordinator.handle_decided(decided)
                )

    def switch(self) -> None:
        """Begin a switch at every replica that believes to lead."""
        self.world.schedule(SWITCH_S, self.switch)
        for replica in self.replicas.values():
            if replica.coordinator is not None:
                number = self.world.rng.getrandbits(40) | 1
                if replica.coordinator.begin_switch(
                    number, b'map', self.world.now
                ):
                    self.world.facts['begun'] += 1

    def carry_out(
        self, replica: Replica, effects: switch_module.Effects
    ) -> None:
        """Send a replica's orders and proposals."""
        for effect in effects:
            if isinstance(effect, switch_module.Propose):
                self.propose(replica, effect.command)
            else:
                self.send_down(replica, effect.rank, effect.message)

    def propose(self, replica: Replica, command: experts.Decide) -> None:
        """Commit a command, if the replica still leads when it arrives."""
        term = replica.term

        def commit() -> None:
            if replica.name != self.leader or term != self.term:
                self.world.facts['stale_proposals'] += 1
                return
            before = self.replicas[self.leader].switches.find_decision(
                command.switch
            )
            self.log.append(command)
            if before is None:
                kind = 'committed' if command.is_commit else 'aborted'
                self.world.facts[kind] += 1

        self.world.schedule(COMMIT_S, commit)

    # Messages.

    def send_down(
        self, replica: Replica, rank: int, message: typing.Any
    ) -> None:
        """Send an order to a rank's agent."""
        self.transmit(
            codec.pack(message),
            lambda data: self.obey(rank, replica.name, codec.unpack(data)),
        )

    def obey(self, rank: int, sender: str, message: typing.Any) -> None:
        """Let an agent handle an order."""
        agent = self.agents[rank]
        match message:
            case orders.Stage():
                self.send_up(rank, agent.handle_stage(message, sender))
            case orders.Arm():
                self.send_up(rank, agent.handle_arm(message, sender))
            case orders.Decision():
                agent.handle_decision(message)
            case orders.Floor():
                agent.record_floor(message)

    def send_up(self, rank: int, effects: orders_state.Effects) -> None:
        """Send an agent's answers."""
        for effect in effects:
            for name in [effect.replica] if effect.replica else REPLICAS:
                self.transmit(
                    codec.pack(effect.message),
                    lambda data, name=name: self.hear(
                        rank, self.replicas[name], codec.unpack(data)
                    ),
                )

    def hear(self, rank: int, replica: Replica, message: typing.Any) -> None:
        """Let a replica handle an agent's message."""
        if isinstance(message, orders.AskFloor):
            floor = orders.Floor(replica=replica.name, fence=replica.term)
            self.send_down(replica, rank, floor)
            return
        if isinstance(message, orders.AskDecision):
            decided = replica.switches.find_decision(message.switch)
            if decided is not None:
                decision = switch_module.make_decision(decided)
                self.send_down(replica, rank, decision)
            return
        coordinator = replica.coordinator
        if coordinator is None:
            return
        match message:
            case orders.RankReport():
                effects = coordinator.handle_report(message, self.world.now)
            case orders.Staged():
                effects = coordinator.handle_staged(message, self.world.now)
            case _:
                effects = coordinator.handle_armed(message)
        self.carry_out(replica, effects)

    def transmit(
        self, data: bytes, deliver: collections.abc.Callable[[bytes], None]
    ) -> None:
        """Lose, repeat or delay a message."""
        rng = self.world.rng
        if rng.random() < self.loss:
            self.world.faults['loss'] += 1
            return
        copies = 1
        if self.faults_on and rng.random() < 0.05:
            self.world.faults['repeat'] += 1
            copies = 2
        for _ in range(copies):
            delay_s = rng.uniform(0.0005, 0.01)
            if self.faults_on and rng.random() < 0.05:
                self.world.faults['late'] += 1
                delay_s = rng.uniform(0.1, 5.0)
            self.world.schedule(delay_s, lambda: deliver(data))

    # Faults.

    def draw_fault(self) -> None:
        """Bring about one fault."""
        if not self.faults_on:
            return
        rng = self.world.rng
        self.world.schedule(rng.uniform(0.2, 2.0), self.draw_fault)
        rng.choice([self.fault_stall, self.fault_restart, self.fault_leader])()

    def fault_stall(self) -> None:
        """Let a rank stall."""
        rank = self.world.rng.randrange(RANKS)
        self.world.record_fault('stall', str(rank))
        span_s = self.world.rng.uniform(0.1, 2.0)
        self.engines[rank].stalled_until = self.world.now + span_s

    def fault_restart(self) -> None:
        """Restart an agent, which loses all it knew."""
        rank = self.world.rng.randrange(RANKS)
        self.world.record_fault('agent_restart', str(rank))
        self.agents[rank] = self.make_agent(rank)

    def fault_leader(self) -> None:
        """Cut the leader off from the log; it goes on giving orders."""
        old = self.replicas[self.leader]
        self.world.record_fault('leader_cut', self.leader)
        for replica in self.replicas.values():
            replica.is_cut = False
        old.is_cut = self.world.rng.random() < 0.7
        self.elect()

        def mend() -> None:
            old.is_cut = False
            if old.name != self.leader:
                old.coordinator = None
                old.term = self.term

        self.world.schedule(self.world.rng.uniform(0.5, 6.0), mend)


def prove(seed: int, steps: int = DEFAULT_STEPS) -> world_module.Result:
    """Run the proof.

    :param seed: the seed of everything drawn
    :param steps: how many events to run
    :returns: the result
    """
    return world_module.run_proof('expert_map', seed, steps, ExpertMapProof)
