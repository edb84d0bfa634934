"""Connect a Raft replica to its disk, its links and its state machine."""

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
    """State that committed commands change, equal on every replica."""

    def apply(self, command: bytes) -> bytes:
        """Apply one command and return its packed reply."""

    def save(self) -> bytes:
        """Return the whole state as bytes."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state; empty bytes stand for the initial one."""


@dataclasses.dataclass(slots=True, kw_only=True)
class _PendingProposal:
    """Proposal whose log entry is not applied yet."""

    term: int
    proposal_id: int
    reply: ReplyCallback


class Replicator:
    """Drive one replica; all calls must come from one thread.

    ``replica`` is None while the data folder can't be written. Until it has
    been loaded once, ``id`` is 0 and ``group_bootstrap`` is None, and the
    replica neither greets its peers nor hears them.

    :param voter_names: names of the first voters, empty if this replica
        may not form a group
    :param has_open_membership: whether replicas of other names may join
    :param tolerated_losses: how many replicas may be lost at once
    :param send: sends a message to the replica with an id
    :param add_timestamp: puts the leader's time before a command
    :param snapshot_after_entries: number of applied entries after which a
        snapshot is made
    """

    def __init__(
        self,
        *,
        storage: storage_module.Storage,
        state_machine: StateMachine,
        name: str,
        voter_names: list[str],
        has_open_membership: bool = False,
        tolerated_losses: int = 1,
        send: SendCallback,
        add_timestamp: collections.abc.Callable[[bytes], bytes],
        rng: random.Random,
        now: float,
        snapshot_after_entries: int = const.SNAPSHOT_AFTER_ENTRIES,
    ) -> None:
        self._snapshot_after_entries = snapshot_after_entries
        self._storage = storage
        self._state_machine = state_machine
        self._name = name
        self._voter_names = voter_names
        self._has_open_membership = has_open_membership
        self._tolerated_losses = tolerated_losses
        self._is_leaving = False
        self._send = send
        self._add_timestamp = add_timestamp
        self._rng = rng
        self._pending_proposals: dict[int, _PendingProposal] = {}
        self._next_reload_at = 0.0
        self._is_failure_logged = False
        self.id = 0
        self.replica: state_module.Replica | None = None
        self.group_bootstrap: bootstrap_module.GroupBootstrap | None = None
        try:
            self._load(now)
        except errors.StorageError as error:
            self._postpone_reload(error, now)

    def _load(self, now: float) -> None:
        """Create the replica from what is on disk."""
        loaded = self._storage.load()
        self.id = loaded.id
        self.replica = state_module.Replica(
            id=loaded.id,
            name=self._name,
            voter_names=self._voter_names,
            has_open_membership=self._has_open_membership,
            tolerated_losses=self._tolerated_losses,
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
        """Return whether this replica is the leader."""
        return self.replica is not None and self.replica.is_leader

    @property
    def leader_name(self) -> str:
        """Return the leader's name, empty if unknown."""
        return self.replica.leader_name if self.replica else ''

    @property
    def term(self) -> int:
        """Return the current term, which is also the orders' fencing token."""
        return self.replica.term if self.replica else 0

    def make_greeting(self, peer: str) -> messages.Greeting:
        """Return the greeting for a peer.

        :param peer: the name of the peer
        """
        assert self.group_bootstrap is not None, 'not loaded yet'
        members = self.replica.get_committed_members() if self.replica else {}
        return messages.Greeting(
            id=self.id,
            name=self._name,
            is_fresh=self.replica is not None and self.replica.is_fresh,
            your_id=self.group_bootstrap.latest_ids.get(peer, 0),
            is_leaving=self._is_leaving,
            member_names=sorted(members.values()),
        )

    def handle_greeting(self, greeting: messages.Greeting) -> None:
        """Handle the greeting of a peer."""
        if self.group_bootstrap is None:
            return
        self.group_bootstrap.add_greeting(greeting)
        if self.replica is None:
            return
        if greeting.is_leaving:
            self.replica.mark_leaving(greeting.id)
        else:
            self.replica.add_learner(greeting.id, greeting.name)

    def leave(self) -> bool:
        """Prepare for the end of this process.

        Hand over the leadership, and tell the others in greetings that this
        replica leaves.

        :returns: whether another replica was asked to lead
        """
        self._is_leaving = True
        return self.replica is not None and self.replica.transfer_leadership()

    def has_left(self) -> bool:
        """Return whether the group needs this replica no longer.

        As long as it has more voters than it needs, one that leaves is to be
        taken out before it ends. A leader that nobody has followed yet asks
        again for a successor.
        """
        if self.replica is None:
            return True
        if self.replica.is_leader:
            self.replica.transfer_leadership()
        return not self.replica.is_surplus_voter

    def step(
        self, sender: str, sender_id: int, message: typing.Any, now: float
    ) -> None:
        """Handle a message from another replica.

        It is ignored if the sender's name has another id by now.

        :param sender: the sender's name
        :param sender_id: the sender's id
        :param message: the message
        :param now: the current time in seconds
        """
        if self.group_bootstrap is None:
            return
        if self.group_bootstrap.is_superseded(sender, sender_id):
            return
        if self.replica is not None:
            self.replica.step(message, now)

    def propose(
        self, proposal: messages.Propose, reply: ReplyCallback
    ) -> None:
        """Append a command to the log if this replica is the leader.

        :param proposal: the command and its id
        :param reply: called with the reply, at once if this replica is not
            the leader and otherwise once the entry is applied
        """
        log_position = None
        if self.replica is not None and self.replica.is_leader:
            log_position = self.replica.propose(
                self._add_timestamp(proposal.command)
            )
        if log_position is None:
            metrics.PROPOSALS.labels(result='not_leader').inc()
            reply(self._make_refusal(proposal.proposal))
            return
        index, term = log_position
        self._pending_proposals[index] = _PendingProposal(
            term=term, proposal_id=proposal.proposal, reply=reply
        )

    def _make_refusal(self, proposal_id: int) -> messages.Proposed:
        return messages.Proposed(
            proposal=proposal_id, is_accepted=False, leader=self.leader_name
        )

    def tick(self, now: float) -> None:
        """Run what is due: a reload, the bootstrap or the replica's timers."""
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
        try:
            self._storage.check_writable()
            self._load(now)
        except errors.StorageError as error:
            self._postpone_reload(error, now)
            return
        self._is_failure_logged = False
        LOG.info('data folder loaded; replica runs again')

    def _postpone_reload(self, error: errors.StorageError, now: float) -> None:
        """Try again later to load the data folder."""
        self._next_reload_at = now + const.RELOAD_INTERVAL_S
        if not self._is_failure_logged:
            self._is_failure_logged = True
            LOG.error(
                'cannot load data folder; trying again', error=str(error)
            )

    def flush(self, now: float) -> None:
        """Save, send and apply all that is ready.

        After a failed write the replica stops until it can be reloaded
        from disk.

        :param now: the current time in seconds
        """
        try:
            self._flush()
        except errors.StorageError as error:
            LOG.error(
                'cannot save replica state; stopping replica', error=str(error)
            )
            metrics.STORAGE_FAILURES.inc()
            self._stop_replica(now)

    def _stop_replica(self, now: float) -> None:
        """Hand over and forget the replica's state until it can be reloaded.

        Proposals that wait are refused, so that they are sent to the next
        leader. Their entries may be committed nevertheless, which is harmless
        (see :mod:`bambooring.replication.proposer`).
        """
        replica = self.replica
        assert replica is not None
        self.replica = None
        self._next_reload_at = now + const.RELOAD_INTERVAL_S
        self._hand_over(replica)
        pending_proposals = list(self._pending_proposals.values())
        self._pending_proposals.clear()
        for pending in pending_proposals:
            pending.reply(self._make_refusal(pending.proposal_id))

    def _hand_over(self, replica: state_module.Replica) -> None:
        """Let a follower lead; nothing else that is unsaved may be sent."""
        if not replica.transfer_leadership(is_urgent=True):
            return
        ready = replica.take_ready()
        assert ready is not None
        for envelope in ready.envelopes:
            if isinstance(envelope.message, messages.TimeoutNow):
                self._send(envelope.receiver_id, envelope.message)

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
            self._snapshot_if_due()

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
        pending = self._pending_proposals.pop(entry.index, None)
        if pending is None:
            return
        if pending.term != entry.term:
            pending.reply(self._make_refusal(pending.proposal_id))
            return
        metrics.PROPOSALS.labels(result='applied').inc()
        pending.reply(
            messages.Proposed(
                proposal=pending.proposal_id, is_accepted=True, reply=reply
            )
        )

    def _snapshot_if_due(self) -> None:
        assert self.replica is not None
        replica = self.replica
        entry_count = replica.applied_index - replica.log.snapshot_head.index
        is_large = replica.log.size_bytes >= const.SNAPSHOT_AFTER_BYTES
        if not entry_count or (
            entry_count < self._snapshot_after_entries and not is_large
        ):
            return
        snapshot = replica.create_snapshot(self._state_machine.save())
        saved_entries = [
            entry
            for entry in replica.log.get_entries_from(replica.log.first_index)
            if entry.index <= replica.last_batched_index
        ]
        self._storage.save_snapshot(snapshot, saved_entries)
        LOG.info(
            'snapshot saved',
            index=snapshot.head.index,
            size=len(snapshot.data),
        )


def make_timestamper(
    get_time: collections.abc.Callable[[], float],
) -> collections.abc.Callable[[bytes], bytes]:
    """Return a function that puts the leader's time before a command.

    :param get_time: returns seconds since the Unix epoch
    :returns: a function from a packed command to a packed
        :class:`messages.Stamped`
    """

    def add_timestamp(command: bytes) -> bytes:
        stamped = messages.Stamped(at_s=get_time(), command=command)
        return codec.pack(stamped)

    return add_timestamp
