"""Run a replica of the control log with its links and proposals."""

import collections.abc
import functools
import random
import time
import typing

import structlog

from bambooring import metrics
from bambooring import reactor_calls
from bambooring.replication import const as replication_const
from bambooring.replication import messages as replication
from bambooring.replication import proposer as proposer_module
from bambooring.replication import storage as storage_module
from bambooring.replication import task as replication_task
from bambooring import state_machine as state_machine_module
from bambooring_core import codec
from bambooring_core import const as core_const
from bambooring_core import errors as core_errors
from bambooring_core import identity as identity_module
from bambooring_core import links
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)

_REPLICATION_MESSAGES = (
    replication.VoteRequest,
    replication.VoteReply,
    replication.AppendRequest,
    replication.AppendReply,
    replication.SnapshotChunk,
    replication.SnapshotReply,
    replication.TimeoutNow,
)


class ReplicaHost:
    """Base class of processes that run a replica of the control log.

    A subclass handles the messages that are not of the replication and
    follows up on applied entries.
    """

    # The types of command that other processes may propose.
    proposable_commands: tuple[type, ...] = ()

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        identity: identity_module.Identity,
        voter_names: list[str],
        has_open_membership: bool,
        tolerated_losses: int = 1,
        leave_timeout_s: float = replication_const.LEAVE_TIMEOUT_S,
        key: bytes,
        disk: storage_module.Disk,
        get_time: collections.abc.Callable[[], float] = time.time,
        make_hub: links.HubFactory = links.LinkHub,
    ) -> None:
        self._reactor = reactor
        self._identity = identity
        self._random = random.Random(identity.incarnation)
        self._state_machine = state_machine_module.ControlStateMachine()
        self._replicator = replication_task.Replicator(
            storage=storage_module.Storage(disk),
            state_machine=self._state_machine,
            name=identity.instance,
            voter_names=voter_names,
            has_open_membership=has_open_membership,
            tolerated_losses=tolerated_losses,
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
        self._reply_callbacks: dict[int, reactor_calls.ReplyCallback] = {}
        self._replica_ids_by_link: dict[links.Link, int] = {}
        self._replica_ids_by_name: dict[str, int] = {}
        self._is_flush_scheduled = False
        self._is_stopping = False
        self._leave_timeout_s = leave_timeout_s

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader."""
        return self._replicator.is_leader

    def set_up_replica(self) -> None:
        """Schedule the periodic work of the replica."""
        self._reactor.call_every(replication_const.TICK_INTERVAL_S, self._tick)
        self._reactor.call_every(
            replication_const.GREETING_INTERVAL_S, self._send_greetings
        )

    def leave(self) -> None:
        """Leave the control group, then stop; callable from any thread."""
        self._reactor.post(self._leave)

    def _leave(self) -> None:
        if self._is_stopping:
            return
        self._is_stopping = True
        wait_s = 0.0
        if self._replicator.leave():
            wait_s = replication_const.ELECTION_TIMEOUT_S
        self._send_greetings()
        self._schedule_flush()
        leave_by_s = self._reactor.now() + self._leave_timeout_s
        self._reactor.call_later(
            wait_s, functools.partial(self._end_when_left, leave_by_s)
        )

    def _end_when_left(self, leave_by_s: float) -> None:
        """End once the control group needs this replica no longer."""
        has_left = self._replicator.has_left()
        if not has_left and self._reactor.now() < leave_by_s:
            self._schedule_flush()
            self._reactor.call_later(
                replication_const.LEAVE_POLL_INTERVAL_S,
                functools.partial(self._end_when_left, leave_by_s),
            )
            return
        LOG.info('control group left', is_removed=has_left)
        self._end()

    def _end(self) -> None:
        """End the process once this replica has left its group."""
        self._reactor.stop()

    def _tick(self) -> None:
        now = self._reactor.now()
        self._replicator.tick(now)
        self._perform_effects(self._proposer.tick(now))
        metrics.TERM.set(self._replicator.term)
        metrics.IS_LEADER.set(self._replicator.is_leader)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._reactor.call_soon(self._flush)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        self._replicator.flush(self._reactor.now())
        self._after_flush()

    def _after_flush(self) -> None:
        """Follow up on entries that may have been applied; for subclasses."""

    def _send_greetings(self) -> None:
        for link in self._hub.get_links(core_const.ROLE_CONTROL):
            self._send_greeting(link)

    def _send_greeting(self, link: links.Link) -> None:
        if link.dialled_address is not None and self._replicator.id:
            link.send(self._replicator.make_greeting(link.name))

    def _send_to_replica(self, replica_id: int, message: typing.Any) -> None:
        for link in self._hub.get_links(core_const.ROLE_CONTROL):
            if (
                link.dialled_address
                and self._replica_ids_by_name.get(link.name) == replica_id
            ):
                link.send(message)

    def handle_link_up(self, link: links.Link) -> None:
        """Send a greeting to a replica, and propose through it if dialled."""
        assert link.peer is not None
        if link.peer.role == core_const.ROLE_CONTROL:
            self._send_greeting(link)
            if link.dialled_address is not None:
                self._proposer.reachable.add(link.name)

    def handle_link_down(self, link: links.Link) -> None:
        """Remove what is known of the peer of a link that ended."""
        self._replica_ids_by_link.pop(link, None)
        if link.dialled_address is not None:
            self._proposer.mark_unreachable(link.name)
            if self._replicator.group_bootstrap is not None:
                self._replicator.group_bootstrap.handle_link_down(link.name)

    def handle_message(self, link: links.Link, message: typing.Any) -> None:
        """Handle a message from a link."""
        if isinstance(message, _REPLICATION_MESSAGES):
            self._handle_replication_message(link, message)
            return
        match message:
            case replication.Greeting():
                self._replica_ids_by_link[link] = message.id
                self._replica_ids_by_name[link.name] = message.id
                self._replicator.handle_greeting(message)
                self._handle_member_names(message.member_names)
            case replication.Propose():
                self._propose(message, link.send)
            case replication.Proposed():
                now = self._reactor.now()
                self._perform_effects(
                    self._proposer.handle_reply(message, link.name, now)
                )
            case _:
                self._handle_other_message(link, message)

    def _handle_member_names(self, names: list[str]) -> None:
        """Learn which voters another replica knows of; for subclasses."""

    def _handle_other_message(
        self, link: links.Link, message: typing.Any
    ) -> None:
        LOG.warning('unexpected message ignored', kind=type(message).__name__)

    def _handle_replication_message(
        self, link: links.Link, message: typing.Any
    ) -> None:
        assert link.peer is not None
        sender_id = self._replica_ids_by_link.get(link)
        if sender_id is None or link.peer.role != core_const.ROLE_CONTROL:
            return
        self._replicator.step(
            link.name, sender_id, message, self._reactor.now()
        )
        self._schedule_flush()

    def _propose(
        self,
        proposal: replication.Propose,
        reply_callback: replication_task.ReplyCallback,
    ) -> None:
        try:
            command = codec.unpack(proposal.command)
        except core_errors.FrameError as error:
            LOG.warning('undecodable proposal ignored', error=str(error))
            return
        if not isinstance(command, self.proposable_commands):
            LOG.warning(
                'proposal of unexpected command ignored',
                kind=type(command).__name__,
            )
            return
        self._replicator.propose(proposal, reply_callback)
        self._schedule_flush()

    def _perform_effects(self, effects: proposer_module.Effects) -> None:
        for effect in effects:
            match effect:
                case proposer_module.SendProposal():
                    self._send_proposal(effect)
                case proposer_module.ProposalResult():
                    reply_callback = self._reply_callbacks.pop(
                        effect.proposal_id, None
                    )
                    if reply_callback is not None:
                        reply_callback(effect.reply)

    def _send_proposal(self, effect: proposer_module.SendProposal) -> None:
        own_name = self._identity.instance
        if effect.replica == own_name:
            self._propose(
                effect.message,
                functools.partial(self._handle_own_reply, own_name),
            )
            return
        for link in self._hub.get_links(core_const.ROLE_CONTROL):
            if link.dialled_address and link.name == effect.replica:
                link.send(effect.message)

    def _handle_own_reply(
        self, sender: str, message: replication.Proposed
    ) -> None:
        now = self._reactor.now()
        self._perform_effects(
            self._proposer.handle_reply(message, sender, now)
        )

    def submit(
        self,
        command: typing.Any,
        timeout_s: float,
        reply_callback: reactor_calls.ReplyCallback,
    ) -> None:
        """Propose a command from this process.

        :param command: the command
        :param timeout_s: how long to try to commit it, in seconds
        :param reply_callback: called with the packed reply, or with None if
            there was none in time
        """
        now = self._reactor.now()
        proposal_id, effects = self._proposer.submit(
            codec.pack(command), now, timeout_s
        )
        self._reply_callbacks[proposal_id] = reply_callback
        self._perform_effects(effects)
