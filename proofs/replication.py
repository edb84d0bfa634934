"""Prove that no command accepted by the control replicas is lost.

Replicas run on a network that loses, delays, repeats and reorders messages.
They are killed, frozen and cut off, also in one direction only, and no cut is
reported to them. Their disks have torn writes and corrupted files, become full
and are lost, a second one also right after the first has been replaced.
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
TICK_INTERVAL_S = 0.05
PROPOSE_INTERVAL_S = 0.03
GREETING_INTERVAL_S = 0.3
SNAPSHOT_AFTER_ENTRIES = 60
REPLICA_NAMES = ('control-1', 'control-2', 'control-3')


class ListStateMachine:
    """A state machine that keeps every command in order."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, command: bytes) -> bytes:
        """Add a command and return how many there are."""
        self.commands.append(command)
        return str(len(self.commands)).encode()

    def save(self) -> bytes:
        """Return all commands, packed as a batch of entries."""
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
        """Replace the commands by saved ones; empty bytes stand for none."""
        self.commands = []
        if data:
            entries = codec.unpack(data).entries
            self.commands = [entry.data for entry in entries]


@dataclasses.dataclass(slots=True, kw_only=True)
class Node:
    """A replica's disk, and its process while that runs.

    ``generation`` is incremented by each start and end of the process, to
    cancel what was scheduled for an earlier one. ``checked_count`` is the
    number of commands of the state machine that have been checked.
    ``peer_ids`` has the id of each peer by name, from its greetings.
    """

    name: str
    disk: disk_module.MemoryDisk
    process: task.Replicator | None = None
    state_machine: ListStateMachine = dataclasses.field(
        default_factory=ListStateMachine
    )
    generation: int = 0
    frozen_until_s: float = 0.0
    checked_count: int = 0
    peer_ids: dict[str, int] = dataclasses.field(default_factory=dict)


class ReplicationProof:
    """Run three replicas and check a replica whenever it has done something.

    ``cut_directions`` are pairs of the sender and the receiver between which
    every message is lost. ``leaders_by_term`` has the id of the leader.
    ``applied_commands`` are the commands that any replica has applied, in
    order; ``accepted_commands`` are those whose proposer was told so.
    """

    def __init__(self, world: world_module.World) -> None:
        self.world = world
        self.nodes: collections.abc.Mapping[str, Node] = {
            name: Node(name=name, disk=disk_module.MemoryDisk(world.rng))
            for name in REPLICA_NAMES
        }
        self.cut_directions: set[tuple[str, str]] = set()
        self.leaders_by_term: dict[int, int] = {}
        self.applied_commands: list[bytes] = []
        self.accepted_commands: set[bytes] = set()
        self.proposal_count = 0
        self.loss_probability = 0.05
        self.is_injecting_faults = True
        self.last_lost_disk = ''

    def run(self, steps: int) -> None:
        """Run under faults, then repair them and check for progress."""
        for node in self.nodes.values():
            self.start(node)
        self.world.schedule(PROPOSE_INTERVAL_S, self.propose)
        self.world.schedule(1.0, self.inject_faults)
        self.world.run_steps(steps)
        self.heal()
        self.world.run_for(20.0)
        self.check_final_state()

    def make_storage(self, node: Node) -> storage.Storage:
        """Return the storage of a replica.

        An empty disk gets a new random id.
        """
        return storage.Storage(
            node.disk, lambda: self.world.rng.getrandbits(62) | 1
        )

    def start(self, node: Node) -> None:
        """Start a replica.

        If its files are corrupted, it is started later with an empty disk.
        """
        node.generation += 1
        node.state_machine = ListStateMachine()
        node.checked_count = 0
        node.peer_ids = {}
        node.process = None
        try:
            node.process = self.make_process(node)
        except errors.CorruptedDataError as error:
            self.world.trace(f'{node.name} has corrupted files: {error}')
            self.world.facts['damage_found'] += 1
            node.disk.files.clear()
            self.restart_later(node)
            return
        generation = node.generation
        self.world.schedule(
            TICK_INTERVAL_S, lambda: self.tick(node, generation)
        )
        self.world.schedule(0.0, lambda: self.send_greetings(node, generation))

    def make_process(self, node: Node) -> task.Replicator:
        """Return the process of a replica, loaded from its disk."""
        return task.Replicator(
            storage=self.make_storage(node),
            state_machine=node.state_machine,
            name=node.name,
            voter_names=list(REPLICA_NAMES),
            send=lambda receiver_id, message: self.send(
                node, receiver_id, message
            ),
            add_timestamp=lambda command: command,
            rng=self.world.rng,
            now=self.world.now,
            snapshot_after_entries=SNAPSHOT_AFTER_ENTRIES,
        )

    def kill(self, node: Node) -> None:
        """End a replica's process without notice."""
        node.process = None
        node.generation += 1

    def tick(self, node: Node, generation: int) -> None:
        """Let a replica run what is due, and schedule its next tick."""
        if node.generation != generation or node.process is None:
            return
        if node.frozen_until_s > self.world.now:
            delay_s = node.frozen_until_s - self.world.now
            self.world.schedule(delay_s, lambda: self.tick(node, generation))
            return
        self.world.schedule(
            TICK_INTERVAL_S, lambda: self.tick(node, generation)
        )
        node.process.tick(self.world.now)
        self.flush(node)

    def send_greetings(self, node: Node, generation: int) -> None:
        """Send a replica's greetings to the others, now and at an interval."""
        if node.generation != generation or node.process is None:
            return
        self.world.schedule(
            GREETING_INTERVAL_S, lambda: self.send_greetings(node, generation)
        )
        if not node.process.id:
            # Its disk was full when it started.
            return
        for peer in self.list_peers(node):
            greeting = node.process.make_greeting(peer.name)
            self.transmit(node, peer, greeting)

    def list_peers(self, node: Node) -> list[Node]:
        """Return the replicas that one greets, by default all others."""
        return [peer for peer in self.nodes.values() if peer is not node]

    def flush(self, node: Node) -> None:
        """Let a replica save, send and apply what is ready, and check it."""
        assert node.process is not None
        try:
            node.process.flush(self.world.now)
        except disk_module.CrashError:
            self.world.trace(f'{node.name} crashed during a write')
            self.kill(node)
            self.restart_later(node)
            return
        self.check_node(node)

    def restart_later(self, node: Node) -> None:
        """Start a replica again after a while, unless it is started before."""
        generation = node.generation

        def restart() -> None:
            if node.generation == generation:
                self.start(node)

        self.world.schedule(self.world.rng.uniform(0.1, 4.0), restart)

    def send(self, node: Node, receiver_id: int, message: typing.Any) -> None:
        """Send a message to the peers known by an id."""
        for name, peer_id in node.peer_ids.items():
            if peer_id == receiver_id:
                self.transmit(node, self.nodes[name], message)

    def transmit(
        self, sender: Node, receiver: Node, message: typing.Any
    ) -> None:
        """Deliver a message, or lose, delay or repeat it by chance."""
        rng = self.world.rng
        copy_count = 1
        if (sender.name, receiver.name) in self.cut_directions:
            return
        if self.is_injecting_faults:
            if rng.random() < self.loss_probability:
                self.world.faults['loss'] += 1
                return
            if rng.random() < 0.03:
                self.world.faults['repeat'] += 1
                copy_count = 2
        data = codec.pack(message)
        assert sender.process is not None
        sender_id = sender.process.id
        for _ in range(copy_count):
            delay_s = rng.uniform(0.0005, 0.01)
            if self.is_injecting_faults and rng.random() < 0.02:
                self.world.faults['delay'] += 1
                delay_s = rng.uniform(0.1, 3.0)
            self.world.schedule(
                delay_s,
                lambda: self.deliver(sender.name, sender_id, receiver, data),
            )

    def deliver(
        self, sender: str, sender_id: int, node: Node, data: bytes
    ) -> None:
        """Let a replica handle a message, at the end of its freeze if any.

        A late greeting with an id that its sender no longer has is ignored.
        """
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
            if group_bootstrap is None:
                return
            known_id = group_bootstrap.latest_ids.get(sender)
            sending = self.nodes[sender].process
            if known_id not in (None, message.id) and (
                sending is None or sending.id != message.id
            ):
                return
            node.peer_ids[sender] = message.id
            self.handle_greeting(node, message)
        else:
            node.process.step(sender, sender_id, message, self.world.now)
        self.flush(node)

    def handle_greeting(self, node: Node, greeting: messages.Greeting) -> None:
        """Let a replica handle a greeting."""
        assert node.process is not None
        node.process.handle_greeting(greeting)

    def propose(self) -> None:
        """Propose a command to a replica that considers itself the leader."""
        self.world.schedule(PROPOSE_INTERVAL_S, self.propose)
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
        self.proposal_count += 1
        command = f'command-{self.proposal_count}'.encode()
        proposal = messages.Propose(
            proposal=self.proposal_count, command=command
        )
        assert node.process is not None
        node.process.propose(
            proposal, lambda answer: self.record_answer(command, answer)
        )
        self.flush(node)

    def record_answer(self, command: bytes, answer: messages.Proposed) -> None:
        """Record a command if it was accepted."""
        if answer.is_accepted:
            self.accepted_commands.add(command)
            self.world.facts['accepted'] += 1

    def inject_faults(self) -> None:
        """Inject one or two random faults, and schedule the next ones."""
        if not self.is_injecting_faults:
            return
        rng = self.world.rng
        self.world.schedule(rng.uniform(0.3, 4.0), self.inject_faults)
        faults: list[collections.abc.Callable[[Node], None]] = [
            self.inject_kill,
            self.inject_freeze,
            self.inject_cut,
            self.inject_cut,
            self.inject_one_way_cut,
            self.inject_torn_write,
            self.inject_full_disk,
            self.inject_disk_loss,
            self.inject_corruption,
        ]
        for _ in range(rng.choice((1, 1, 2))):
            node = rng.choice(list(self.nodes.values()))
            rng.choice(faults)(node)

    def inject_kill(self, node: Node) -> None:
        """Kill a replica and start it again after a while."""
        if node.process is None:
            return
        self.world.record_fault('kill', node.name)
        self.kill(node)
        self.restart_later(node)

    def inject_freeze(self, node: Node) -> None:
        """Freeze a replica for a while."""
        self.world.record_fault('freeze', node.name)
        duration_s = self.world.rng.uniform(0.2, 5.0)
        node.frozen_until_s = self.world.now + duration_s

    def inject_cut(self, node: Node) -> None:
        """Lose all messages from and to a replica for a while.

        The leader is cut off instead of the given replica if there is one.
        """
        for leader in self.nodes.values():
            if leader.process is not None and leader.process.is_leader:
                node = leader
        pairs = {
            pair
            for other in self.nodes
            if other != node.name
            for pair in ((node.name, other), (other, node.name))
        }
        self.world.record_fault('cut', node.name)
        self.cut_temporarily(pairs)

    def inject_one_way_cut(self, node: Node) -> None:
        """Lose the messages from a replica to one of the others."""
        receiver = self.world.rng.choice(
            [name for name in self.nodes if name != node.name]
        )
        self.world.record_fault('one_way', f'{node.name} -> {receiver}')
        self.cut_temporarily({(node.name, receiver)})

    def cut_temporarily(self, pairs: set[tuple[str, str]]) -> None:
        """Lose all messages from one to the other of each pair for a while."""
        self.cut_directions |= pairs

        def reconnect() -> None:
            self.cut_directions -= pairs

        self.world.schedule(self.world.rng.uniform(0.5, 8.0), reconnect)

    def inject_torn_write(self, node: Node) -> None:
        """Make a replica crash during its next append."""
        self.world.record_fault('torn', node.name)
        node.disk.crash_on_append = True

    def inject_full_disk(self, node: Node) -> None:
        """Make a replica's disk full for a while."""
        self.world.record_fault('full', node.name)
        node.disk.is_full = True

        def free_space() -> None:
            node.disk.is_full = False

        self.world.schedule(self.world.rng.uniform(0.5, 4.0), free_space)

    def inject_disk_loss(self, node: Node) -> None:
        """Lose a disk and restart its replica with an empty one.

        It is a random disk other than the one lost last, whatever replica is
        given. Nothing is lost before an earlier loss has been repaired.
        """
        candidates = [
            candidate
            for candidate in self.nodes.values()
            if candidate.name != self.last_lost_disk
        ]
        node = self.world.rng.choice(candidates)
        if not self.are_all_disks_voters():
            return
        self.world.record_fault('lost_disk', node.name)
        self.last_lost_disk = node.name
        self.kill(node)
        node.disk.files.clear()
        node.disk.crash_on_append = False
        self.restart_later(node)

    def inject_corruption(self, node: Node) -> None:
        """Corrupt a log in its first half and restart the replica.

        The corruption is detected at the restart, and the disk is lost.
        """
        if not self.are_all_disks_voters():
            return
        if not node.disk.corrupt('log'):
            return
        self.world.record_fault('damage', node.name)
        self.kill(node)
        self.restart_later(node)

    def are_all_disks_voters(self) -> bool:
        """Return whether the replica on each current disk is a voter.

        Only then may a disk be lost, as a majority of the voters must keep
        theirs. It is required that all replicas run, that there is a leader,
        and that every leader has committed just these voters.
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
        return all(self.has_committed_voters(node, ids) for node in leaders)

    def has_committed_voters(self, node: Node, ids: set[int]) -> bool:
        """Return whether a leader has committed exactly these voters."""
        assert node.process is not None
        replica = node.process.replica
        if replica is None or set(replica.members) != ids:
            return False
        index, _ = replica.log.find_latest_members()
        return replica.commit_index >= index

    def check_node(self, node: Node) -> None:
        """Check the leaders of a term and the commands that were applied."""
        if node.process is None or node.process.replica is None:
            return
        replica = node.process.replica
        if replica.is_leader:
            leader_id = self.leaders_by_term.setdefault(
                replica.term, replica.id
            )
            self.world.check(
                leader_id == replica.id,
                f'two leaders in term {replica.term}',
            )
        commands = node.state_machine.commands
        if len(commands) < node.checked_count:
            node.checked_count = 0
        for index in range(node.checked_count, len(commands)):
            if index == len(self.applied_commands):
                self.applied_commands.append(commands[index])
            self.world.check(
                self.applied_commands[index] == commands[index],
                f'{node.name} applied {commands[index]!r} at {index},'
                f' another {self.applied_commands[index]!r}',
            )
        node.checked_count = len(commands)

    def heal(self) -> None:
        """Repair every fault and start all replicas that do not run."""
        self.is_injecting_faults = False
        self.cut_directions.clear()
        for node in self.nodes.values():
            node.disk.is_full = False
            node.disk.crash_on_append = False
            node.frozen_until_s = 0.0
            if node.process is None:
                self.start(node)

    def check_final_state(self) -> None:
        """Check that no command is lost or repeated, and that work goes on.

        Every replica must have applied all commands accepted before.
        """
        applied = set(self.applied_commands)
        for command in self.accepted_commands:
            self.world.check(command in applied, f'lost {command!r}')
        self.world.check(
            len(applied) == len(self.applied_commands), 'applied twice'
        )
        accepted_before = len(self.accepted_commands)
        self.world.run_for(10.0)
        self.world.check(
            len(self.accepted_commands) > accepted_before,
            'no progress after healing',
        )
        command_counts = [
            len(node.state_machine.commands) for node in self.nodes.values()
        ]
        self.world.check(
            min(command_counts) >= accepted_before,
            f'a replica lags: {command_counts}',
        )


def prove(seed: int, steps: int = DEFAULT_STEPS) -> world_module.Result:
    """Run the proof once.

    :param seed: the seed of all random numbers
    :param steps: the number of events to run under faults
    :returns: the result
    """
    return world_module.run_proof('replication', seed, steps, ReplicationProof)
