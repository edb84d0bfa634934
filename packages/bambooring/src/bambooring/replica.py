"""Host a control replica: its links, its log and what waits for it."""

import collections.abc
import functools
import random
import time
import typing

import structlog

from bambooring import machine as machine_module
from bambooring import mailbox
from bambooring import metrics
from bambooring.replication import const as replication_const
from bambooring.replication import messages as replication
from bambooring.replication import proposer as proposer_module
from bambooring.replication import storage as storage_module
from bambooring.replication import task as replication_task
from bambooring_core import codec
from bambooring_core import const as core_const
from bambooring_core import errors as core_errors
from bambooring_core import identity as identity_module
from bambooring_core import links
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)

_REPLICATION = (
    replication.VoteRequest,
    replication.VoteReply,
    replication.AppendRequest,
    replication.AppendReply,
    replication.SnapshotChunk,
    replication.SnapshotReply,
    replication.TimeoutNow,
)


class ReplicaHost:
    """Run one replica of the control log beside what a process adds.

    A subclass handles the other messages and what follows from applied
    entries.
    """

    # The commands that other processes may propose.
    commands: tuple[type, ...] = ()

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        identity: identity_module.Identity,
        names: list[str],
        is_open: bool,
        key: bytes,
        disk: storage_module.Disk,
        get_time: collections.abc.Callable[[], float] = time.time,
        make_hub: links.MakeHub = links.LinkHub,
    ) -> None:
        self._reactor = reactor
        self._identity = identity
        self._random = random.Random(identity.incarnation)
        self._machine = machine_module.ControlMachine()
        self._replicator = replication_task.Replicator(
            storage=storage_module.Storage(disk),
            state_machine=self._machine,
            name=identity.instance,
            voter_names=names,
            has_open_membership=is_open,
            send=self._send_to_replica,
            add_timestamp=replication_task.make_timestamper(get_time),
            rng=self._random,
            now=reactor.now(),
        )
        self._hub = make_hub(
            reactor=reactor,
            identity=identity,
            key=key,
            handler=self,
        )
        self._proposer = proposer_module.Proposer(self._random)
        self._proposer.reachable.add(identity.instance)
        self._answers: dict[int, mailbox.Reply] = {}
        self._peer_ids: dict[links.Link, int] = {}
        self._ids_by_name: dict[str, int] = {}
        self._flush_due = False
        self._is_stopping = False

    @property
    def is_leader(self) -> bool:
        """Tell whether this replica leads."""
        return self._replicator.is_leader

    def set_up_replica(self) -> None:
        """Begin what is done at intervals."""
        self._reactor.call_every(replication_const.TICK_INTERVAL_S, self._tick)
        self._reactor.call_every(
            replication_const.GREETING_INTERVAL_S, self._greet_all
        )

    def leave(self) -> None:
        """Hand leadership on, then stop; callable from any thread."""
        self._reactor.post(self._leave)

    def _leave(self) -> None:
        if self._is_stopping:
            return
        self._is_stopping = True
        replica = self._replicator.replica
        wait_s = 0.0
        if replica is not None and replica.transfer_leadership():
            wait_s = replication_const.ELECTION_TIMEOUT_S
            self._flush_soon()
        self._reactor.call_later(wait_s, self._reactor.stop)

    def _tick(self) -> None:
        now = self._reactor.now()
        self._replicator.tick(now)
        self._carry_out(self._proposer.tick(now))
        metrics.TERM.set(self._replicator.term)
        metrics.IS_LEADER.set(self._replicator.is_leader)
        self._flush_soon()

    def _flush_soon(self) -> None:
        if not self._flush_due:
            self._flush_due = True
            self._reactor.call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_due = False
        self._replicator.flush(self._reactor.now())
        self._after_flush()

    def _after_flush(self) -> None:
        """Do what follows from newly applied entries."""

    def _greet_all(self) -> None:
        for link in self._hub.get_links(core_const.ROLE_CONTROL):
            self._greet(link)

    def _greet(self, link: links.Link) -> None:
        if link.dialled is not None:
            link.send(self._replicator.make_greeting(link.name))

    def _send_to_replica(self, to: int, message: typing.Any) -> None:
        for link in self._hub.get_links(core_const.ROLE_CONTROL):
            if link.dialled and self._ids_by_name.get(link.name) == to:
                link.send(message)

    def link_up(self, link: links.Link) -> None:
        """Greet another replica."""
        assert link.peer is not None
        if link.peer.role == core_const.ROLE_CONTROL:
            self._greet(link)
            if link.dialled is not None:
                self._proposer.reachable.add(link.name)

    def link_down(self, link: links.Link) -> None:
        """Forget what hung on a link."""
        self._peer_ids.pop(link, None)
        if link.dialled is not None:
            self._proposer.mark_unreachable(link.name)
            assert self._replicator.group_bootstrap is not None
            self._replicator.group_bootstrap.handle_link_down(link.name)

    def receive(self, link: links.Link, message: typing.Any) -> None:
        """Handle one message."""
        if isinstance(message, _REPLICATION):
            self._step(link, message)
            return
        match message:
            case replication.Greeting():
                self._peer_ids[link] = message.id
                self._ids_by_name[link.name] = message.id
                self._replicator.handle_greeting(message)
            case replication.Propose():
                self._propose(message, link.send)
            case replication.Proposed():
                now = self._reactor.now()
                self._carry_out(
                    self._proposer.handle_reply(message, link.name, now)
                )
            case _:
                self._receive_other(link, message)

    def _receive_other(self, link: links.Link, message: typing.Any) -> None:
        LOG.warning('message ignored', kind=type(message).__name__)

    def _step(self, link: links.Link, message: typing.Any) -> None:
        assert link.peer is not None
        sender_id = self._peer_ids.get(link)
        if sender_id is None or link.peer.role != core_const.ROLE_CONTROL:
            return
        self._replicator.step(
            link.name, sender_id, message, self._reactor.now()
        )
        self._flush_soon()

    def _propose(
        self,
        proposal: replication.Propose,
        reply: replication_task.ReplyCallback,
    ) -> None:
        try:
            command = codec.unpack(proposal.command)
        except core_errors.FrameError as error:
            LOG.warning('proposal ignored', error=str(error))
            return
        if not isinstance(command, self.commands):
            LOG.warning('proposal ignored', kind=type(command).__name__)
            return
        self._replicator.propose(proposal, reply)
        self._flush_soon()

    def _carry_out(self, effects: proposer_module.Effects) -> None:
        for effect in effects:
            match effect:
                case proposer_module.SendProposal():
                    self._ask(effect)
                case proposer_module.ProposalResult():
                    reply = self._answers.pop(effect.proposal_id, None)
                    if reply is not None:
                        reply(effect.reply)

    def _ask(self, ask: proposer_module.SendProposal) -> None:
        own = self._identity.instance
        if ask.replica == own:
            self._propose(ask.message, functools.partial(self._hear, own))
            return
        for link in self._hub.get_links(core_const.ROLE_CONTROL):
            if link.dialled and link.name == ask.replica:
                link.send(ask.message)

    def _hear(self, sender: str, message: replication.Proposed) -> None:
        now = self._reactor.now()
        self._carry_out(self._proposer.handle_reply(message, sender, now))

    def submit(
        self, command: typing.Any, timeout_s: float, reply: mailbox.Reply
    ) -> None:
        """Propose a command; ``reply`` gets its packed answer or None."""
        now = self._reactor.now()
        proposal, effects = self._proposer.submit(
            codec.pack(command), now, timeout_s
        )
        self._answers[proposal] = reply
        self._carry_out(effects)
