"""Run one replica: its disk, its links and its state machine."""

import collections.abc
import dataclasses
import random
import typing

import structlog

from bambooring import metrics
from bambooring.replication import bootstrap as bootstrap_module
from bambooring.replication import const
from bambooring.replication import errors
from bambooring.replication import messages
from bambooring.replication import progress
from bambooring.replication import state as state_module
from bambooring.replication import storage as storage_module
from bambooring_core import codec

LOG = structlog.get_logger(__name__)

ReplyCallback = collections.abc.Callable[[messages.Proposed], None]
SendCallback = collections.abc.Callable[[int, typing.Any], None]


class StateMachine(typing.Protocol):
    """Apply committed commands; the same on every replica."""

    def apply(self, command: bytes) -> bytes:
        """Apply one command and return its packed reply."""

    def save(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state; no bytes stand for an empty one."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _PendingProposal:
    """Hold who waits for an entry to be applied."""

    term: int
    proposal: int
    reply: ReplyCallback


class Replicator:
    """Drive a replica; every call comes from one thread."""

    def __init__(
        self,
        *,
        storage: storage_module.Storage,
        state_machine: StateMachine,
        name: str,
        voter_names: list[str],
        has_open_membership: bool = False,
        send: SendCallback,
        add_timestamp: collections.abc.Callable[[bytes], bytes],
        rng: random.Random,
        now: float,
        snapshot_after: int = const.SNAPSHOT_AFTER_ENTRIES,
    ) -> None:
        self._snapshot_after = snapshot_after
        self._storage = storage
        self._state_machine = state_machine
        self._name = name
        self._voter_names = voter_names
        self._has_open_membership = has_open_membership
        self._send = send
        self._add_timestamp = add_timestamp
        self._rng = rng
        self._pending_proposals: dict[int, _PendingProposal] = {}
        self._next_reload_at = 0.0
        self.id = 0
        self.replica: state_module.Replica | None = None
        self.group_bootstrap: bootstrap_module.GroupBootstrap | None = None
        self._load(now)

    def _load(self, now: float) -> None:
        """Start from what the disk holds."""
        loaded = self._storage.load()
        self.id = loaded.id
        self.replica = state_module.Replica(
            id=loaded.id,
            name=self._name,
            voter_names=self._voter_names,
            has_open_membership=self._has_open_membership,
            hard_state=loaded.hard_state,
            snapshot=loaded.snapshot,
            entries=loaded.entries,
            rng=self._rng,
            now=now,
        )
        if self.group_bootstrap is None:
            self.group_bootstrap = bootstrap_module.GroupBootstrap(
                id=loaded.id, name=self._name, voter_names=self._voter_names
            )
        self._state_machine.restore(
            loaded.snapshot.data if loaded.snapshot else b''
        )

    @property
    def is_leader(self) -> bool:
        """Tell whether this replica leads."""
        return self.replica is not None and self.replica.is_leader

    @property
    def leader_name(self) -> str:
        """Return the leader's name, or an empty text."""
        return self.replica.leader_name if self.replica else ''

    @property
    def term(self) -> int:
        """Return the current term, also the orders' fencing number."""
        return self.replica.term if self.replica else 0

    def make_greeting(self, peer: str) -> messages.Greeting:
        """Make the greeting for a peer.

        :param peer: the peer's name
        :returns: the greeting
        """
        assert self.group_bootstrap is not None
        return messages.Greeting(
            id=self.id,
            name=self._name,
            is_fresh=self.replica is not None and self.replica.is_fresh,
            your_id=self.group_bootstrap.latest_ids.get(peer, 0),
        )

    def handle_greeting(self, greeting: messages.Greeting) -> None:
        """Take in a peer's greeting."""
        assert self.group_bootstrap is not None
        self.group_bootstrap.add_greeting(greeting)
        if self.replica is not None:
            self.replica.add_learner(greeting.id, greeting.name)

    def step(
        self, sender: str, sender_id: int, message: typing.Any, now: float
    ) -> None:
        """Handle a message of another replica.

        :param sender: its name
        :param sender_id: its identity
        :param message: the message
        :param now: the current time in seconds
        """
        assert self.group_bootstrap is not None
        if self.group_bootstrap.is_superseded(sender, sender_id):
            return
        if self.replica is not None:
            self.replica.step(message, now)

    def propose(
        self, proposal: messages.Propose, reply: ReplyCallback
    ) -> None:
        """Put a command into the log if this replica leads.

        :param proposal: the proposal
        :param reply: called with the answer, now or once applied
        """
        accepted = None
        if self.replica is not None and self.replica.is_leader:
            accepted = self.replica.propose(
                self._add_timestamp(proposal.command)
            )
        if accepted is None:
            metrics.PROPOSALS.labels(result='not_leader').inc()
            reply(self._make_refusal(proposal.proposal))
            return
        index, term = accepted
        self._pending_proposals[index] = _PendingProposal(
            term=term, proposal=proposal.proposal, reply=reply
        )

    def _make_refusal(self, proposal: int) -> messages.Proposed:
        return messages.Proposed(
            proposal=proposal, is_accepted=False, leader=self.leader_name
        )

    def tick(self, now: float) -> None:
        """Do what is due by time alone."""
        if self.replica is None:
            self._try_reload(now)
            return
        assert self.group_bootstrap is not None
        if self.replica.is_fresh:
            members = self.group_bootstrap.choose_members()
            if members is not None:
                LOG.info('control group formed', members=len(members))
                self.replica.bootstrap(members)
        self.replica.tick(now)

    def _try_reload(self, now: float) -> None:
        if now < self._next_reload_at:
            return
        self._next_reload_at = now + const.RELOAD_INTERVAL_S
        try:
            self._load(now)
        except errors.StorageError as error:
            LOG.error('data folder unusable', error=str(error))

    def flush(self, now: float) -> None:
        """Save, send and apply all that is ready.

        :param now: the current time in seconds
        """
        try:
            self._flush()
        except errors.StorageError as error:
            LOG.error('replica halted', error=str(error))
            metrics.STORAGE_FAILURES.inc()
            self.replica = None
            self._next_reload_at = now + const.RELOAD_INTERVAL_S

    def _flush(self) -> None:
        while self.replica is not None:
            ready = self.replica.take_ready()
            if ready is None:
                return
            self._save(ready)
            for envelope in ready.envelopes:
                self._send(envelope.receiver_id, envelope.message)
            if ready.snapshot is not None:
                self._state_machine.restore(ready.snapshot.data)
            for entry in ready.committed:
                self._apply(entry)
            self._compact()

    def _save(self, ready: progress.Ready) -> None:
        assert self.replica is not None
        if ready.hard_state is not None:
            self._storage.save_hard_state(ready.hard_state)
        if ready.snapshot is not None:
            log = self.replica.log
            self._storage.save_snapshot(
                ready.snapshot, log.get_entries_from(log.first_index)
            )
        elif ready.batch is not None:
            self._storage.append_batch(ready.batch)
        self.replica.confirm_saved()

    def _apply(self, entry: messages.Entry) -> None:
        reply = b''
        if entry.kind is messages.EntryKind.COMMAND:
            reply = self._state_machine.apply(entry.data)
        waiting = self._pending_proposals.pop(entry.index, None)
        if waiting is None:
            return
        if waiting.term != entry.term:
            waiting.reply(self._make_refusal(waiting.proposal))
            return
        metrics.PROPOSALS.labels(result='applied').inc()
        waiting.reply(
            messages.Proposed(
                proposal=waiting.proposal, is_accepted=True, reply=reply
            )
        )

    def _compact(self) -> None:
        assert self.replica is not None
        replica = self.replica
        held = replica.applied_index - replica.log.snapshot_head.index
        is_large = replica.log.size_bytes >= const.SNAPSHOT_AFTER_BYTES
        if not held or (held < self._snapshot_after and not is_large):
            return
        snapshot = replica.create_snapshot(self._state_machine.save())
        rest = [
            entry
            for entry in replica.log.get_entries_from(replica.log.first_index)
            if entry.index <= replica.last_batched_index
        ]
        self._storage.save_snapshot(snapshot, rest)
        LOG.info(
            'snapshot saved',
            index=snapshot.head.index,
            size=len(snapshot.data),
        )


def make_timestamper(
    get_time: collections.abc.Callable[[], float],
) -> collections.abc.Callable[[bytes], bytes]:
    """Make what puts the leader's time before a command.

    :param get_time: returns seconds since the epoch
    :returns: a function from a packed command to a stamped one
    """

    def add_timestamp(command: bytes) -> bytes:
        stamped = messages.Stamped(at_s=get_time(), command=command)
        return codec.pack(stamped)

    return add_timestamp
