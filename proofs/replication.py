"""Prove that nothing accepted by the control replicas is lost.

Replicas run over a network that loses, delays, repeats and reorders; they
are killed, frozen, cut off (also one way and in silence), and their disks
are torn, damaged, filled and lost, a second one right after a repair.
"""

import collections.abc
import dataclasses
import typing

from bambooring.replication import errors
from bambooring.replication import messages
from bambooring.replication import storage
from bambooring.replication import task
from bambooring_core import codec
from proofs import disk as disk_module
from proofs import world as world_module

DEFAULT_STEPS = 40_000
TICK_S = 0.05
PROPOSE_S = 0.03
GREET_S = 0.3
SNAPSHOT_AFTER = 60
REPLICA_NAMES = ('control-1', 'control-2', 'control-3')


class ListMachine:
    """Keep every command in order."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, command: bytes) -> bytes:
        """Add a command and return its place."""
        self.commands.append(command)
        return str(len(self.commands)).encode()

    def save(self) -> bytes:
        """Return every command."""
        entries = [
            messages.Entry(
                index=index,
                term=0,
                kind=messages.EntryKind.COMMAND,
                data=command,
            )
            for index, command in enumerate(self.commands)
        ]
        return codec.pack(messages.Batch(truncate_from=0, entries=entries))

    def restore(self, data: bytes) -> None:
        """Take the commands back."""
        self.commands = []
        if data:
            entries = codec.unpack(data).entries
            self.commands = [entry.data for entry in entries]


@dataclasses.dataclass(slots=True, kw_only=True)
class Node:
    """Hold one replica's process and disk."""

    name: str
    disk: disk_module.MemoryDisk
    process: task.Replicator | None = None
    machine: ListMachine = dataclasses.field(default_factory=ListMachine)
    run: int = 0
    frozen_until_s: float = 0.0
    checked: int = 0
    ids: dict[str, int] = dataclasses.field(default_factory=dict)


class ReplicationProof:
    """Drive three replicas and check them after every event."""

    def __init__(self, world: world_module.World) -> None:
        self.world = world
        self.nodes = {
            name: Node(name=name, disk=disk_module.MemoryDisk(world.rng))
            for name in REPLICA_NAMES
        }
        self.cuts: set[tuple[str, str]] = set()
        self.leaders: dict[int, int] = {}
        self.history: list[bytes] = []
        self.accepted: set[bytes] = set()
        self.proposals = 0
        self.loss = 0.05
        self.is_injecting_faults = True
        self.last_lost = ''

    def run(self, steps: int) -> None:
        """Run under faults, then heal and require progress."""
        for node in self.nodes.values():
            self.start(node)
        self.world.schedule(PROPOSE_S, self.propose)
        self.world.schedule(1.0, self.draw_fault)
        self.world.run_steps(steps)
        self.heal()
        self.world.run_for(20.0)
        self.check_final_state()

    # Processes.

    def make_storage(self, node: Node) -> storage.Storage:
        """Make the storage of a replica."""
        return storage.Storage(
            node.disk, lambda: self.world.rng.getrandbits(62) | 1
        )

    def start(self, node: Node) -> None:
        """Start a replica; one with damaged files gets an empty disk."""
        node.run += 1
        node.machine = ListMachine()
        node.checked = 0
        node.ids = {}
        node.process = None
        try:
            node.process = self.make_process(node)
        except errors.CorruptedDataError as error:
            self.world.trace(f'{node.name} damaged: {error}')
            self.world.facts['damage_found'] += 1
            node.disk.files.clear()
            self.restart_later(node)
            return
        except errors.StorageError as error:
            self.world.trace(f'{node.name} did not start: {error}')
            self.restart_later(node)
            return
        run = node.run
        self.world.schedule(TICK_S, lambda: self.tick(node, run))
        self.world.schedule(0.0, lambda: self.greet(node, run))

    def make_process(self, node: Node) -> task.Replicator:
        """Make a replica from what its disk holds."""
        return task.Replicator(
            storage=self.make_storage(node),
            state_machine=node.machine,
            name=node.name,
            voter_names=list(REPLICA_NAMES),
            send=lambda to, message: self.send(node, to, message),
            add_timestamp=lambda command: command,
            rng=self.world.rng,
            now=self.world.now,
            snapshot_after_entries=SNAPSHOT_AFTER,
        )

    def kill(self, node: Node) -> None:
        """End a replica's process."""
        node.process = None
        node.run += 1

    def tick(self, node: Node, run: int) -> None:
        """Let a replica do what is due."""
        if node.run != run or node.process is None:
            return
        if node.frozen_until_s > self.world.now:
            delay_s = node.frozen_until_s - self.world.now
            self.world.schedule(delay_s, lambda: self.tick(node, run))
            return
        self.world.schedule(TICK_S, lambda: self.tick(node, run))
        node.process.tick(self.world.now)
        self.flush(node)

    def greet(self, node: Node, run: int) -> None:
        """Let a replica greet the others."""
        if node.run != run or node.process is None:
            return
        self.world.schedule(GREET_S, lambda: self.greet(node, run))
        for other in self.nodes.values():
            if other is not node:
                greeting = node.process.make_greeting(other.name)
                self.transmit(node, other, greeting)

    def flush(self, node: Node) -> None:
        """Let a replica save, send and apply; check what it did."""
        assert node.process is not None
        try:
            node.process.flush(self.world.now)
        except disk_module.CrashError:
            self.world.trace(f'{node.name} crashed in a write')
            self.kill(node)
            self.restart_later(node)
            return
        self.check_node(node)

    def restart_later(self, node: Node) -> None:
        """Start a replica again after a while."""
        run = node.run

        def restart() -> None:
            if node.run == run:
                self.start(node)

        self.world.schedule(self.world.rng.uniform(0.1, 4.0), restart)

    # Network.

    def send(self, node: Node, to: int, message: typing.Any) -> None:
        """Send to the replica that has an identity."""
        for name, id in node.ids.items():
            if id == to:
                self.transmit(node, self.nodes[name], message)

    def transmit(self, node: Node, other: Node, message: typing.Any) -> None:
        """Lose, delay, repeat or reorder a message."""
        rng = self.world.rng
        copies = 1
        if self.is_injecting_faults:
            if (node.name, other.name) in self.cuts:
                return
            if rng.random() < self.loss:
                self.world.faults['loss'] += 1
                return
            if rng.random() < 0.03:
                self.world.faults['repeat'] += 1
                copies = 2
        data = codec.pack(message)
        assert node.process is not None
        sender_id = node.process.id
        for _ in range(copies):
            delay_s = rng.uniform(0.0005, 0.01)
            if self.is_injecting_faults and rng.random() < 0.02:
                self.world.faults['delay'] += 1
                delay_s = rng.uniform(0.1, 3.0)
            self.world.schedule(
                delay_s,
                lambda: self.deliver(node.name, sender_id, other, data),
            )

    def deliver(
        self, sender: str, sender_id: int, node: Node, data: bytes
    ) -> None:
        """Hand a message to a replica."""
        if node.process is None:
            return
        if node.frozen_until_s > self.world.now:
            delay_s = node.frozen_until_s - self.world.now
            self.world.schedule(
                delay_s,
                lambda: self.deliver(sender, sender_id, node, data),
            )
            return
        message = codec.unpack(data)
        if isinstance(message, messages.Greeting):
            group_bootstrap = node.process.group_bootstrap
            assert group_bootstrap is not None
            known = group_bootstrap.latest_ids.get(sender)
            if known not in (None, message.id) and (
                self.nodes[sender].process is None
                or self.nodes[sender].process.id != message.id
            ):
                return
            node.ids[sender] = message.id
            node.process.handle_greeting(message)
        else:
            node.process.step(sender, sender_id, message, self.world.now)
        self.flush(node)

    # Work.

    def propose(self) -> None:
        """Propose a command to whoever believes to lead."""
        self.world.schedule(PROPOSE_S, self.propose)
        leaders = [
            node
            for node in self.nodes.values()
            if node.process is not None
            and node.process.is_leader
            and node.frozen_until_s <= self.world.now
        ]
        if not leaders:
            return
        node = self.world.rng.choice(leaders)
        self.proposals += 1
        command = f'command-{self.proposals}'.encode()
        proposal = messages.Propose(proposal=self.proposals, command=command)
        assert node.process is not None
        node.process.propose(
            proposal, lambda answer: self.note_answer(command, answer)
        )
        self.flush(node)

    def note_answer(self, command: bytes, answer: messages.Proposed) -> None:
        """Remember what was accepted."""
        if answer.is_accepted:
            self.accepted.add(command)
            self.world.facts['accepted'] += 1

    # Faults.

    def draw_fault(self) -> None:
        """Bring about one fault, or two at once."""
        if not self.is_injecting_faults:
            return
        rng = self.world.rng
        self.world.schedule(rng.uniform(0.3, 4.0), self.draw_fault)
        faults: list[collections.abc.Callable[[Node], None]] = [
            self.inject_kill,
            self.inject_freeze,
            self.fault_cut,
            self.fault_cut,
            self.fault_one_way,
            self.fault_torn,
            self.fault_full,
            self.fault_lost_disk,
            self.fault_damage,
        ]
        for _ in range(rng.choice((1, 1, 2))):
            node = rng.choice(list(self.nodes.values()))
            rng.choice(faults)(node)

    def inject_kill(self, node: Node) -> None:
        """Kill a replica and start it again."""
        if node.process is None:
            return
        self.world.record_fault('kill', node.name)
        self.kill(node)
        self.restart_later(node)

    def inject_freeze(self, node: Node) -> None:
        """Stop a replica for a while."""
        self.world.record_fault('freeze', node.name)
        span_s = self.world.rng.uniform(0.2, 5.0)
        node.frozen_until_s = self.world.now + span_s

    def fault_cut(self, node: Node) -> None:
        """Cut a replica off, often the leader, in silence."""
        for leader in self.nodes.values():
            if leader.process is not None and leader.process.is_leader:
                node = leader
        pairs = {
            pair
            for other in REPLICA_NAMES
            if other != node.name
            for pair in ((node.name, other), (other, node.name))
        }
        self.world.record_fault('cut', node.name)
        self.cut_for_a_while(pairs)

    def fault_one_way(self, node: Node) -> None:
        """Cut one direction."""
        other = self.world.rng.choice(
            [name for name in REPLICA_NAMES if name != node.name]
        )
        self.world.record_fault('one_way', f'{node.name} -> {other}')
        self.cut_for_a_while({(node.name, other)})

    def cut_for_a_while(self, pairs: set[tuple[str, str]]) -> None:
        """Lose everything between pairs for a while."""
        self.cuts |= pairs

        def mend() -> None:
            self.cuts -= pairs

        self.world.schedule(self.world.rng.uniform(0.5, 8.0), mend)

    def fault_torn(self, node: Node) -> None:
        """Crash a replica in its next write."""
        self.world.record_fault('torn', node.name)
        node.disk.crash_on_append = True

    def fault_full(self, node: Node) -> None:
        """Fill a disk for a while."""
        self.world.record_fault('full', node.name)
        node.disk.is_full = True

        def free() -> None:
            node.disk.is_full = False

        self.world.schedule(self.world.rng.uniform(0.5, 4.0), free)

    def fault_lost_disk(self, node: Node) -> None:
        """Lose a disk; right after its repair, lose another."""
        others = [
            other
            for other in self.nodes.values()
            if other.name != self.last_lost
        ]
        node = self.world.rng.choice(others)
        if not self.is_whole():
            return
        self.world.record_fault('lost_disk', node.name)
        self.last_lost = node.name
        self.kill(node)
        node.disk.files.clear()
        node.disk.crash_on_append = False
        self.restart_later(node)

    def fault_damage(self, node: Node) -> None:
        """Damage a log in the middle; it is found at the next start."""
        if not self.is_whole():
            return
        if not node.disk.corrupt('log'):
            return
        self.world.record_fault('damage', node.name)
        self.kill(node)
        self.restart_later(node)

    def is_whole(self) -> bool:
        """Tell whether every present disk is a voter of the group.

        A disk may be lost only then, as a majority of the voters must
        keep theirs.
        """
        if any(node.process is None for node in self.nodes.values()):
            return False
        ids = set()
        for node in self.nodes.values():
            assert node.process is not None
            ids.add(node.process.id)
        leaders = [
            node
            for node in self.nodes.values()
            if node.process is not None and node.process.is_leader
        ]
        if not leaders:
            return False
        return all(self.knows_voters(node, ids) for node in leaders)

    def knows_voters(self, node: Node, ids: set[int]) -> bool:
        """Tell whether a leader has committed just these voters."""
        assert node.process is not None
        replica = node.process.replica
        if replica is None or set(replica.members) != ids:
            return False
        index, _ = replica.log.find_latest_members()
        return replica.commit_index >= index

    # Invariants.

    def check_node(self, node: Node) -> None:
        """Check one replica against all that was ever applied."""
        if node.process is None or node.process.replica is None:
            return
        replica = node.process.replica
        if replica.is_leader:
            known = self.leaders.setdefault(replica.term, replica.id)
            self.world.check(
                known == replica.id,
                f'two leaders in term {replica.term}',
            )
        commands = node.machine.commands
        if len(commands) < node.checked:
            node.checked = 0
        for index in range(node.checked, len(commands)):
            if index == len(self.history):
                self.history.append(commands[index])
            self.world.check(
                self.history[index] == commands[index],
                f'{node.name} applied {commands[index]!r} at {index},'
                f' another {self.history[index]!r}',
            )
        node.checked = len(commands)

    def heal(self) -> None:
        """End every fault."""
        self.is_injecting_faults = False
        self.cuts.clear()
        for node in self.nodes.values():
            node.disk.is_full = False
            node.disk.crash_on_append = False
            node.frozen_until_s = 0.0
            if node.process is None:
                self.start(node)

    def check_final_state(self) -> None:
        """Require that all agree, hold all accepted, and go on."""
        known = set(self.history)
        for command in self.accepted:
            self.world.check(command in known, f'lost {command!r}')
        self.world.check(len(known) == len(self.history), 'applied twice')
        before = len(self.accepted)
        self.world.run_for(10.0)
        self.world.check(
            len(self.accepted) > before, 'no progress after healing'
        )
        lengths = [len(node.machine.commands) for node in self.nodes.values()]
        self.world.check(min(lengths) >= before, f'a replica lags: {lengths}')


def prove(seed: int, steps: int = DEFAULT_STEPS) -> world_module.Result:
    """Run the proof.

    :param seed: the seed of everything drawn
    :param steps: how many events to run
    :returns: the result
    """
    return world_module.run_proof('replication', seed, steps, ReplicationProof)
