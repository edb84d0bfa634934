"""Prove that the control group outlives the replacement of its machines.

Machines of the control group are replaced for good, by a successor that comes
first or later, and leave by a stop or a kill. They also restart, freeze, are
cut off and lose their disks. At any moment no more machines are lost than the
group is made for. A machine counts as lost while it is away and for
``CATCH_UP_S`` after it has come back or, if it is new, has started.

A new machine knows the addresses of three machines only, from a list that
lags, and links to those that it learns of.
"""

import collections.abc
import dataclasses
import typing

from bambooring.replication import messages
from bambooring.replication import state
from bambooring.replication import task
from proofs import disk as disk_module
from proofs import replication
from proofs import world as world_module

DEFAULT_STEPS = 60_000
CATCH_UP_S = 4.0
SEED_LAG_S = 3.0
STOP_TIMEOUT_S = 8.0
# How long no command may be accepted: the time until an undisturbed group is
# in touch, and the time that a change may then take.
MAX_OUTAGE_S = 3.0 + 4.0
CHECK_INTERVAL_S = 0.25
SEED_COUNT = 3


@dataclasses.dataclass(slots=True, kw_only=True)
class Machine(replication.Node):
    """A machine of the control group.

    ``lost_until_s`` is the time until which it, or a machine that it has
    replaced, counts as lost. ``known_names`` are the machines that it links
    to. One with ``is_leaving`` set has been told to stop for good.
    """

    known_names: set[str]
    may_bootstrap: bool = False
    lost_until_s: float = 0.0
    is_leaving: bool = False


def is_leader(machine: Machine) -> bool:
    """Return whether a machine leads the group."""
    return machine.process is not None and machine.process.is_leader


class ReplacementProof(replication.ReplicationProof):
    """Run a control group while its machines are replaced.

    ``nodes`` has the machines that exist now, by name.
    """

    def __init__(
        self, world: world_module.World, tolerated_losses: int
    ) -> None:
        super().__init__(world)
        self.tolerated_losses = tolerated_losses
        first_names = [
            f'control-{number}' for number in range(2 * tolerated_losses + 1)
        ]
        self.first_seeds = first_names[:SEED_COUNT]
        self.machines: dict[str, Machine] = {}
        for name in first_names:
            self.machines[name] = self.make_machine(name, self.first_seeds)
            self.machines[name].may_bootstrap = True
        self.nodes = self.machines
        self.machine_count = len(first_names)
        # The names of the machines, from time to time.
        self.listings: list[tuple[float, list[str]]] = []
        self.last_accepted_s = world.now
        self.next_fault_s = world.now + CATCH_UP_S

    def make_machine(self, name: str, seeds: list[str]) -> Machine:
        """Return a machine that is not running yet."""
        return Machine(
            name=name,
            disk=disk_module.MemoryDisk(self.world.rng),
            known_names=set(seeds),
        )

    def run(self, steps: int) -> None:
        """Run under replacements and faults, then check the group."""
        for machine in self.machines.values():
            self.start(machine)
        self.world.schedule(replication.PROPOSE_INTERVAL_S, self.propose)
        self.world.schedule(CHECK_INTERVAL_S, self.check_group)
        self.world.schedule(CATCH_UP_S, self.inject_faults)
        self.world.run_steps(steps)
        self.is_injecting_faults = False
        self.cut_directions.clear()
        self.world.run_for(4 * CATCH_UP_S)
        self.check_voters()
        self.check_final_state()

    def make_process(self, node: replication.Node) -> task.Replicator:
        """Return the process of a machine, loaded from its disk."""
        machine = self.machines[node.name]
        return task.Replicator(
            storage=self.make_storage(node),
            state_machine=node.state_machine,
            name=node.name,
            voter_names=self.first_seeds if machine.may_bootstrap else [],
            has_open_membership=True,
            tolerated_losses=self.tolerated_losses,
            send=lambda receiver_id, message: self.send(
                node, receiver_id, message
            ),
            add_timestamp=lambda command: command,
            rng=self.world.rng,
            now=self.world.now,
            snapshot_after_entries=replication.SNAPSHOT_AFTER_ENTRIES,
        )

    def list_peers(self, node: replication.Node) -> list[replication.Node]:
        """Return the machines that one links to and that still exist."""
        machine = self.machines[node.name]
        if machine.process is not None and machine.process.replica is not None:
            members = machine.process.replica.get_committed_members()
            machine.known_names |= set(members.values())
        return [
            self.machines[name]
            for name in sorted(machine.known_names)
            if name != node.name and name in self.machines
        ]

    def handle_greeting(
        self, node: replication.Node, greeting: messages.Greeting
    ) -> None:
        """Let a machine handle a greeting, and link to whom it names."""
        known_names = self.machines[node.name].known_names
        known_names.add(greeting.name)
        known_names |= set(greeting.member_names)
        super().handle_greeting(node, greeting)

    def send(
        self,
        node: replication.Node,
        receiver_id: int,
        message: typing.Any,
    ) -> None:
        """Send a message to a machine known by an id, if it still exists."""
        for name, peer_id in node.peer_ids.items():
            if peer_id == receiver_id and name in self.machines:
                self.transmit(node, self.machines[name], message)

    def deliver(
        self,
        sender: str,
        sender_id: int,
        node: replication.Node,
        data: bytes,
    ) -> None:
        """Let a machine handle a message unless one of the two is gone."""
        if sender in self.machines and node.name in self.machines:
            super().deliver(sender, sender_id, node, data)

    def record_answer(self, command: bytes, answer: messages.Proposed) -> None:
        """Record a command if it was accepted, and when."""
        super().record_answer(command, answer)
        if answer.is_accepted:
            self.last_accepted_s = self.world.now

    def check_group(self) -> None:
        """Check that commands are accepted, and list the machines."""
        self.world.schedule(CHECK_INTERVAL_S, self.check_group)
        names = [
            name
            for name, machine in self.machines.items()
            if machine.process is not None and not machine.is_leaving
        ]
        self.listings.append((self.world.now, names))
        outage_s = self.world.now - self.last_accepted_s
        self.world.check(
            outage_s <= MAX_OUTAGE_S,
            f'no command accepted for {outage_s:.1f} s',
        )

    def check_voters(self) -> None:
        """Check that the voters are exactly the machines that run."""
        replicas = self.list_replicas()
        leaders = [replica for replica in replicas if replica.is_leader]
        self.world.check(leaders, 'no leader')
        newest = max(leaders, key=lambda replica: replica.term)
        self.world.check(
            set(newest.get_committed_members())
            == {replica.id for replica in replicas},
            f'voters {sorted(newest.members.values())},'
            f' machines {sorted(self.machines)}',
        )

    def list_replicas(self) -> list[state.Replica]:
        """Return the replicas of the machines that run."""
        return [
            machine.process.replica
            for machine in self.machines.values()
            if machine.process is not None
            and machine.process.replica is not None
        ]

    def count_lost(self) -> int:
        """Return how many machines count as lost."""
        return sum(
            machine.lost_until_s > self.world.now
            for machine in self.machines.values()
        )

    def inject_faults(self) -> None:
        """Inject a fault if the group can bear it, and schedule the next."""
        if not self.is_injecting_faults:
            return
        rng = self.world.rng
        self.world.schedule(
            rng.choice((0.0, 0.1, 0.5, rng.uniform(0.0, 6.0))) + 0.01,
            self.inject_faults,
        )
        if self.count_lost() >= self.tolerated_losses:
            return
        candidates = [
            machine
            for machine in self.machines.values()
            if machine.process is not None
            and not machine.is_leaving
            and machine.lost_until_s <= self.world.now
        ]
        machine = rng.choice(candidates)
        if rng.random() < 0.5:
            machine = next(filter(is_leader, candidates), machine)
        faults: list[collections.abc.Callable[[Machine], None]] = [
            self.inject_restart,
            self.inject_stop,
            self.inject_pause,
            self.inject_isolation,
            self.inject_wipe,
            self.inject_replacement,
            self.inject_replacement,
            self.inject_replacement_by_stop,
            self.inject_planned_replacement,
            self.inject_planned_replacement,
        ]
        rng.choice(faults)(machine)

    def inject_restart(self, machine: Machine) -> None:
        """Kill a machine's process and start it again."""
        self.world.record_fault('kill', machine.name)
        self.kill(machine)
        self.start_later(machine, self.world.rng.uniform(0.1, 3.0))

    def inject_stop(self, machine: Machine) -> None:
        """Stop a machine as planned and start it again."""
        self.world.record_fault('stop', machine.name)
        machine.lost_until_s = float('inf')
        delay_s = self.world.rng.uniform(0.1, 3.0)
        self.stop(machine, lambda: self.start_later(machine, delay_s))

    def inject_pause(self, machine: Machine) -> None:
        """Freeze a machine."""
        self.world.record_fault('freeze', machine.name)
        machine.frozen_until_s = self.world.now + self.world.rng.uniform(
            0.2, 6.0
        )
        machine.lost_until_s = machine.frozen_until_s + CATCH_UP_S

    def inject_isolation(self, machine: Machine) -> None:
        """Cut a machine off from all others."""
        self.world.record_fault('cut', machine.name)
        pairs = {
            pair
            for name in self.machines
            for pair in ((machine.name, name), (name, machine.name))
        }
        duration_s = self.world.rng.uniform(0.5, 8.0)
        self.cut_directions |= pairs
        machine.lost_until_s = self.world.now + duration_s + CATCH_UP_S

        def reconnect() -> None:
            self.cut_directions -= pairs

        self.world.schedule(duration_s, reconnect)

    def inject_wipe(self, machine: Machine) -> None:
        """Lose a machine's disk; it comes back under its name."""
        self.world.record_fault('lost_disk', machine.name)
        self.kill(machine)
        machine.disk.files.clear()
        machine.may_bootstrap = False
        self.start_later(machine, self.world.rng.uniform(0.1, 2.0))

    def inject_replacement(self, machine: Machine) -> None:
        """Lose a machine for good; a successor comes later."""
        self.world.record_fault('replace', machine.name)
        self.kill(machine)
        del self.machines[machine.name]
        self.add_successor(self.world.rng.uniform(0.5, 2.0))

    def inject_replacement_by_stop(self, machine: Machine) -> None:
        """Stop a machine for good; a successor comes later."""
        self.world.record_fault('replace_stopped', machine.name)
        delay_s = self.world.rng.uniform(0.5, 2.0)
        self.stop_for_good(machine)
        self.add_successor(delay_s)

    def inject_planned_replacement(self, machine: Machine) -> None:
        """Add a successor, and stop the machine once that has caught up."""
        self.world.record_fault('replace_planned', machine.name)
        successor = self.add_successor(0.0)
        wait_s = CATCH_UP_S + self.world.rng.choice(
            (0.0, 1.0, self.world.rng.uniform(0.0, 8.0))
        )

        def stop_predecessor() -> None:
            if self.machines.get(machine.name) is not machine:
                return
            if machine.is_leaving or not self.is_injecting_faults:
                return
            # A machine that is away doesn't notice that it is to stop.
            is_away = (
                machine.process is None
                or machine.frozen_until_s > self.world.now
                or machine.lost_until_s == float('inf')
            )
            if is_away or successor.name not in self.machines:
                return
            self.world.record_fault('leave', machine.name)
            self.stop_for_good(machine)

        self.world.schedule(wait_s, stop_predecessor)

    def add_successor(self, delay_s: float) -> Machine:
        """Add a machine with an empty disk under a new name.

        It counts as lost from now on, for the one that it replaces or, if
        that is still there, because it is new.
        """
        self.machine_count += 1
        name = f'control-{self.machine_count}'
        machine = self.make_machine(name, [])
        self.machines[name] = machine
        machine.lost_until_s = self.world.now + delay_s + CATCH_UP_S

        def start() -> None:
            machine.known_names = set(self.choose_seeds())
            boot_s = self.world.rng.uniform(0.3, 1.0)
            self.world.schedule(boot_s, lambda: self.start(machine))

        self.world.schedule(delay_s, start)
        return machine

    def choose_seeds(self) -> list[str]:
        """Return three of the machines that the lagging list names."""
        listed = next(
            (
                names
                for at_s, names in reversed(self.listings)
                if at_s <= self.world.now - SEED_LAG_S
            ),
            self.first_seeds,
        )
        return self.world.rng.sample(listed, min(SEED_COUNT, len(listed)))

    def start_later(self, machine: Machine, delay_s: float) -> None:
        """Start a machine's process again after some time."""
        machine.lost_until_s = self.world.now + delay_s + CATCH_UP_S
        generation = machine.generation
        boot_s = self.world.rng.uniform(0.3, 1.0)

        def start() -> None:
            if machine.generation == generation:
                self.start(machine)

        self.world.schedule(delay_s + boot_s, start)

    def stop_for_good(self, machine: Machine) -> None:
        """Stop a machine that never comes back."""
        machine.is_leaving = True

        def remove() -> None:
            self.machines.pop(machine.name, None)

        self.stop(machine, remove)

    def stop(
        self, machine: Machine, then: collections.abc.Callable[[], None]
    ) -> None:
        """Tell a machine's process to leave, and end it in time.

        :param machine: the machine
        :param then: called once the process has ended
        """
        assert machine.process is not None
        process = machine.process
        process.leave()
        deadline_s = self.world.now + STOP_TIMEOUT_S
        self.flush(machine)

        def end() -> None:
            if machine.process is process:
                is_frozen = machine.frozen_until_s > self.world.now
                has_left = not is_frozen and process.has_left()
                if not has_left and self.world.now < deadline_s:
                    self.world.schedule(0.1, end)
                    return
                self.kill(machine)
            then()

        # Leadership takes this long to be transferred.
        self.world.schedule(0.8, end)


def prove(seed: int, steps: int = DEFAULT_STEPS) -> world_module.Result:
    """Run the proof once.

    :param seed: the seed of all random numbers; a group with an odd one
        bears the loss of one machine, one with an even one that of two
    :param steps: the number of events to run under faults
    :returns: the result
    """
    tolerated_losses = 1 if seed % 2 else 2
    return world_module.run_proof(
        'replacements',
        seed,
        steps,
        lambda world: ReplacementProof(world, tolerated_losses),
    )
