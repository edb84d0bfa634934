"""Prove that the ranks of a group use the same expert map in every step.

Ranks run in lock-step and stall. Messages between control replicas and
agents are lost, duplicated and delayed. Leaders change during a switch, and
old leaders continue to give orders. Agents restart and lose their state.
Some engines check fencing tokens, others ignore them.
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
RANK_COUNT = 6
REPLICA_NAMES = ('control-1', 'control-2', 'control-3')
GROUP = 'rota-group'
MEAN_STEP_S = 0.02
TICK_INTERVAL_S = 0.05
SWITCH_INTERVAL_S = 1.5
COMMIT_DELAY_S = 0.01


class SimRankEngine:
    """Simulated engine of one rank.

    While it is armed for a switch, it holds at ``armed_step``. After that
    switch was committed, ``committed_switch`` names it until its map is put
    in force at ``armed_step``.
    """

    def __init__(self, checks_fencing: bool) -> None:
        self.checks_fencing = checks_fencing
        self.next_step = 0
        self.in_force = 0
        self.armed_switch = 0
        self.armed_step = 0
        self.committed_switch: int | None = None
        self.highest_fence = 0
        self.stalled_until_s = 0.0

    def read_state(self) -> agent_messages.EngineState:
        """Return the current state."""
        return agent_messages.EngineState(
            step=self.next_step,
            in_force=self.in_force,
            armed=self.armed_switch,
        )

    def stage(self, switch: int, expert_map: bytes) -> None:
        """Load the experts that a map needs; does nothing here."""

    def arm(self, switch: int, step: int, fence: int) -> bool:
        """Promise to hold at a step until the switch is decided.

        :returns: False if it is too late, or if the engine checks fencing
            tokens and the token is outdated
        """
        if self.checks_fencing and fence < self.highest_fence:
            return False
        self.highest_fence = max(self.highest_fence, fence)
        if self.next_step >= step or self.committed_switch is not None:
            return False
        self.armed_switch, self.armed_step = switch, step
        return True

    def decide(self, switch: int, is_commit: bool) -> None:
        """Continue at the armed step, with the new map or the old one."""
        if is_commit:
            self.committed_switch = switch
        self.armed_switch = 0

    def begin_step(self) -> int | None:
        """Begin the next step, unless the engine holds.

        :returns: the switch whose map is in force, None if the engine holds
        """
        if self.armed_switch and self.next_step >= self.armed_step:
            return None
        if (
            self.committed_switch is not None
            and self.next_step >= self.armed_step
        ):
            self.in_force, self.committed_switch = self.committed_switch, None
        return self.in_force


@dataclasses.dataclass(slots=True, kw_only=True)
class ControlReplica:
    """State of one control replica.

    ``applied_count`` entries of the log have been applied to ``switches``.
    ``coordinator`` is set if the replica believes that it is the leader.
    While ``is_partitioned`` is set, the replica learns neither new log
    entries nor new terms.
    """

    name: str
    switches: experts_state.SwitchStore
    applied_count: int = 0
    term: int = 0
    coordinator: switch_module.Coordinator | None = None
    is_partitioned: bool = False


class ExpertMapProof:
    """Switch maps under faults and compare the maps used in each step.

    ``switches_by_step`` has the switch whose map the first rank to begin a
    step used.
    """

    def __init__(self, world: world_module.World) -> None:
        self.world = world
        self.engines = [
            SimRankEngine(checks_fencing=rank % 2 == 0)
            for rank in range(RANK_COUNT)
        ]
        self.agents = [self.make_agent(rank) for rank in range(RANK_COUNT)]
        self.replicas = {
            name: ControlReplica(
                name=name, switches=experts_state.SwitchStore()
            )
            for name in REPLICA_NAMES
        }
        self.decision_log: list[experts.Decide] = []
        self.term = 0
        self.leader_name = ''
        self.switches_by_step: dict[int, int] = {}
        self.loss_probability = 0.1
        self.is_injecting_faults = True

    def make_agent(self, rank: int) -> orders_state.RankOrderHandler:
        """Make the agent of a rank, without any state of an earlier one."""
        return orders_state.RankOrderHandler(
            group=GROUP,
            rank=rank,
            replica_count=len(REPLICA_NAMES),
            engine=self.engines[rank],
        )

    def run(self, steps: int) -> None:
        """Run under faults; without them, a switch must be committed."""
        self.elect_leader()
        self.world.schedule(0.0, self.tick)
        self.world.schedule(1.0, self.begin_switches)
        self.world.schedule(1.0, self.inject_fault)
        for rank in range(RANK_COUNT):
            self.world.schedule(0.0, lambda rank=rank: self.run_step(rank))
        self.world.run_steps(steps)
        self.is_injecting_faults = False
        self.loss_probability = 0.0
        for replica in self.replicas.values():
            replica.is_partitioned = False
        for engine in self.engines:
            engine.stalled_until_s = 0.0
        committed_before = self.world.facts['committed']
        self.world.run_for(40.0)
        self.world.facts['steps_run'] = len(self.switches_by_step)
        self.world.check(
            self.world.facts['committed'] > committed_before,
            'no switch was committed after the faults ended',
        )

    # Ranks.

    def run_step(self, rank: int) -> None:
        """Run a rank's next step if no other rank has an earlier one to run.

        All ranks must use the same map in a step.
        """
        engine = self.engines[rank]
        delay_s = MEAN_STEP_S * self.world.rng.uniform(0.5, 1.5)
        self.world.schedule(delay_s, lambda: self.run_step(rank))
        lowest_step = min(other.next_step for other in self.engines)
        if (
            engine.stalled_until_s > self.world.now
            or engine.next_step > lowest_step
        ):
            return
        switch = engine.begin_step()
        if switch is None:
            self.world.facts['held'] += 1
            return
        expected_switch = self.switches_by_step.setdefault(
            engine.next_step, switch
        )
        self.world.check(
            expected_switch == switch,
            f'step {engine.next_step}: rank {rank} uses the map of switch'
            f' {switch}, another rank that of {expected_switch}',
        )
        engine.next_step += 1

    # Control replicas.

    def elect_leader(self) -> None:
        """Make a random replica the leader, unless it is partitioned.

        A replica that led before isn't told and may continue to give orders.
        """
        candidates = [
            name
            for name in REPLICA_NAMES
            if not self.replicas[name].is_partitioned
        ]
        self.leader_name = self.world.rng.choice(candidates)
        self.term += 1
        replica = self.replicas[self.leader_name]
        replica.term = self.term
        self.apply_log(replica)
        replica.coordinator = switch_module.Coordinator(
            group=GROUP,
            rank_count=RANK_COUNT,
            term=self.term,
            switches=replica.switches,
        )
        for other in self.replicas.values():
            if not other.is_partitioned:
                other.term = self.term

    def apply_log(self, replica: ControlReplica) -> list[experts.Decided]:
        """Apply the log entries that are new to a replica.

        :returns: the decisions that they made
        """
        decisions = [
            replica.switches.decide(command)
            for command in self.decision_log[replica.applied_count :]
        ]
        replica.applied_count = len(self.decision_log)
        return decisions

    def tick(self) -> None:
        """Run the periodic work of all replicas and agents."""
        self.world.schedule(TICK_INTERVAL_S, self.tick)
        for replica in self.replicas.values():
            if replica.coordinator is not None:
                self.apply_effects(
                    replica, replica.coordinator.tick(self.world.now)
                )
            if not replica.is_partitioned:
                self.send_new_decisions(replica)
        for rank, agent in enumerate(self.agents):
            self.send_to_control(rank, agent.tick(self.world.now))

    def send_new_decisions(self, replica: ControlReplica) -> None:
        """Apply new log entries; a leader sends the decisions to the ranks."""
        for decided in self.apply_log(replica):
            if replica.coordinator is not None:
                self.apply_effects(
                    replica, replica.coordinator.handle_decided(decided)
                )

    def begin_switches(self) -> None:
        """Begin a switch on every replica that believes it is the leader."""
        self.world.schedule(SWITCH_INTERVAL_S, self.begin_switches)
        for replica in self.replicas.values():
            if replica.coordinator is not None:
                switch = self.world.rng.getrandbits(40) | 1
                if replica.coordinator.begin_switch(
                    switch, b'map', self.world.now
                ):
                    self.world.facts['begun'] += 1

    def apply_effects(
        self, replica: ControlReplica, effects: switch_module.Effects
    ) -> None:
        """Send the orders and proposals of a replica."""
        for effect in effects:
            if isinstance(effect, switch_module.Propose):
                self.propose(replica, effect.command)
            else:
                self.send_to_rank(replica, effect.rank, effect.message)

    def propose(
        self, replica: ControlReplica, command: experts.Decide
    ) -> None:
        """Commit a command after a delay.

        It is dropped if the replica no longer leads by then, or if the term
        has changed.
        """
        term = replica.term

        def commit() -> None:
            if replica.name != self.leader_name or term != self.term:
                self.world.facts['stale_proposals'] += 1
                return
            earlier_decision = self.replicas[
                self.leader_name
            ].switches.find_decision(command.switch)
            self.decision_log.append(command)
            if earlier_decision is None:
                kind = 'committed' if command.is_commit else 'aborted'
                self.world.facts[kind] += 1

        self.world.schedule(COMMIT_DELAY_S, commit)

    # Messages.

    def send_to_rank(
        self, replica: ControlReplica, rank: int, message: typing.Any
    ) -> None:
        """Send a message from a replica to the agent of a rank."""
        self.transmit(
            codec.pack(message),
            lambda data: self.handle_control_message(
                rank, replica.name, codec.unpack(data)
            ),
        )

    def handle_control_message(
        self, rank: int, sender: str, message: typing.Any
    ) -> None:
        """Handle a message of a control replica in the agent of a rank."""
        agent = self.agents[rank]
        match message:
            case orders.Stage():
                self.send_to_control(rank, agent.handle_stage(message, sender))
            case orders.Arm():
                self.send_to_control(rank, agent.handle_arm(message, sender))
            case orders.Decision():
                agent.handle_decision(message)
            case orders.Floor():
                agent.record_floor(message)

    def send_to_control(
        self, rank: int, effects: orders_state.Effects
    ) -> None:
        """Send the messages of an agent to control replicas."""
        for effect in effects:
            for name in [effect.replica] if effect.replica else REPLICA_NAMES:
                self.transmit(
                    codec.pack(effect.message),
                    lambda data, name=name: self.handle_rank_message(
                        rank, self.replicas[name], codec.unpack(data)
                    ),
                )

    def handle_rank_message(
        self, rank: int, replica: ControlReplica, message: typing.Any
    ) -> None:
        """Handle a message of a rank's agent in a replica."""
        if isinstance(message, orders.AskFloor):
            floor = orders.Floor(replica=replica.name, fence=replica.term)
            self.send_to_rank(replica, rank, floor)
            return
        if isinstance(message, orders.AskDecision):
            decided = replica.switches.find_decision(message.switch)
            if decided is not None:
                decision = switch_module.make_decision(decided)
                self.send_to_rank(replica, rank, decision)
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
        self.apply_effects(replica, effects)

    def transmit(
        self, data: bytes, deliver: collections.abc.Callable[[bytes], None]
    ) -> None:
        """Deliver a message, which may be lost, duplicated or delayed."""
        rng = self.world.rng
        if rng.random() < self.loss_probability:
            self.world.faults['loss'] += 1
            return
        copy_count = 1
        if self.is_injecting_faults and rng.random() < 0.05:
            self.world.faults['repeat'] += 1
            copy_count = 2
        for _ in range(copy_count):
            delay_s = rng.uniform(0.0005, 0.01)
            if self.is_injecting_faults and rng.random() < 0.05:
                self.world.faults['late'] += 1
                delay_s = rng.uniform(0.1, 5.0)
            self.world.schedule(delay_s, lambda: deliver(data))

    # Faults.

    def inject_fault(self) -> None:
        """Inject a random fault, and schedule the next one."""
        if not self.is_injecting_faults:
            return
        rng = self.world.rng
        self.world.schedule(rng.uniform(0.2, 2.0), self.inject_fault)
        rng.choice(
            [self.stall_rank, self.restart_agent, self.partition_leader]
        )()

    def stall_rank(self) -> None:
        """Keep a rank from running steps for a while."""
        rank = self.world.rng.randrange(RANK_COUNT)
        self.world.record_fault('stall', str(rank))
        duration_s = self.world.rng.uniform(0.1, 2.0)
        self.engines[rank].stalled_until_s = self.world.now + duration_s

    def restart_agent(self) -> None:
        """Restart the agent of a rank, which loses its state."""
        rank = self.world.rng.randrange(RANK_COUNT)
        self.world.record_fault('agent_restart', str(rank))
        self.agents[rank] = self.make_agent(rank)

    def partition_leader(self) -> None:
        """Elect a leader; the old one gives orders until it learns of that.

        Usually the old leader is partitioned from the log. The partitions of
        earlier leaders end at once.
        """
        old_leader = self.replicas[self.leader_name]
        self.world.record_fault('leader_cut', self.leader_name)
        for replica in self.replicas.values():
            replica.is_partitioned = False
        old_leader.is_partitioned = self.world.rng.random() < 0.7
        self.elect_leader()

        def end_partition() -> None:
            old_leader.is_partitioned = False
            if old_leader.name != self.leader_name:
                old_leader.coordinator = None
                old_leader.term = self.term

        self.world.schedule(self.world.rng.uniform(0.5, 6.0), end_partition)


def prove(seed: int, steps: int = DEFAULT_STEPS) -> world_module.Result:
    """Run the proof.

    :param seed: the seed of all random draws
    :param steps: the number of events to run under faults
    :returns: the result
    """
    return world_module.run_proof('expert_map', seed, steps, ExpertMapProof)
