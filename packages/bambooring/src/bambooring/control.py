"""Put a control replica's parts together and run them in one thread."""

import collections.abc
import functools
import random
import time
import typing

import structlog

from bambooring.bookings import messages as bookings
from bambooring.configuration import messages as configuration
from bambooring import const
from bambooring import machine as machine_module
from bambooring import mailbox
from bambooring import metrics
from bambooring.operators import api
from bambooring.operators import const as operators_const
from bambooring.operators import messages as operators
from bambooring.operators import state as operators_state
from bambooring.replication import const as replication_const
from bambooring.replication import messages as replication
from bambooring.replication import proposer as proposer_module
from bambooring.replication import storage as storage_module
from bambooring.replication import task as replication_task
from bambooring_core import codec
from bambooring_core import const as core_const
from bambooring_core.dispatch import messages as dispatch
from bambooring_core import errors as core_errors
from bambooring_core import identity as identity_module
from bambooring_core import links
from bambooring_core import operations
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)

_COMMANDS = (
    configuration.Change,
    bookings.Claim,
    bookings.Settle,
    bookings.Release,
)
_REPLICATION = (
    replication.VoteRequest,
    replication.VoteReply,
    replication.AppendRequest,
    replication.AppendReply,
    replication.SnapshotChunk,
    replication.SnapshotReply,
    replication.TimeoutNow,
)


class Control:
    """Run one control replica."""

    def __init__(
        self,
        settings: dict[str, typing.Any],
        *,
        reactor: reactor_module.Reactor,
        key: bytes,
        incarnation: int,
        disk: storage_module.Disk,
        get_time: collections.abc.Callable[[], float] = time.time,
        make_hub: links.MakeHub = links.LinkHub,
    ) -> None:
        self._settings = settings
        self._reactor = reactor
        self._replicas: dict[str, str] = settings[const.CONF_REPLICAS]
        self._identity = identity_module.Identity(
            cluster=settings[const.CONF_CLUSTER],
            instance=settings[const.CONF_INSTANCE],
            role=core_const.ROLE_CONTROL,
            failure_domain=settings[const.CONF_FAILURE_DOMAIN],
            address=settings[const.CONF_LISTEN][const.CONF_PEERS],
            incarnation=incarnation,
        )
        self._random = random.Random(self._identity.incarnation)
        self._machine = machine_module.ControlMachine()
        self._replicator = replication_task.Replicator(
            storage=storage_module.Storage(disk),
            machine=self._machine,
            name=self._identity.instance,
            names=sorted(self._replicas),
            send=self._send_to_replica,
            stamp=replication_task.make_stamper(get_time),
            rng=self._random,
            now=reactor.now(),
        )
        self._hub = make_hub(
            reactor=reactor,
            identity=self._identity,
            key=key,
            handler=self,
        )
        self._proposer = proposer_module.Proposer(self._random)
        self._proposer.reachable.add(self._identity.instance)
        self._answers: dict[int, mailbox.Reply] = {}
        self._reports = operators_state.Reports()
        self._peer_ids: dict[links.Link, int] = {}
        self._ids_by_name: dict[str, int] = {}
        self._subscribers: dict[links.Link, int] = {}
        self._queries: dict[int, list[operators.StatusReply]] = {}
        self._flush_due = False
        self._is_stopping = False

    def run(self) -> None:
        """Run until stopped."""
        server = operations.make_server(
            self._settings[const.CONF_LISTEN][const.CONF_OPERATORS],
            const.OPERATOR_THREADS,
            lambda: bool(self._replicator.leader_name),
            api.Api(self, self._settings[const.CONF_OPERATOR_KEYS]),
        )
        with self._hub, server:
            self.set_up()
            LOG.info('control replica runs', address=self._identity.address)
            self._reactor.run()
        LOG.info('control replica ends')

    def set_up(self) -> None:
        """Begin to dial and what is done at intervals."""
        for name, address in self._replicas.items():
            if name != self._identity.instance:
                self._hub.keep(address)
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
        if replica is not None and replica.transfer():
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
        self._push_records()

    def _push_records(self) -> None:
        revision = self._machine.store.revision
        for link, known in list(self._subscribers.items()):
            if known < revision:
                self._subscribers[link] = revision
                link.send(self._machine.store.get_since(known))

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
        self._subscribers.pop(link, None)
        self._peer_ids.pop(link, None)
        if link.dialled is not None:
            self._proposer.forget(link.name)
            assert self._replicator.formation is not None
            self._replicator.formation.forget(link.name)

    def receive(self, link: links.Link, message: typing.Any) -> None:
        """Handle one message."""
        if isinstance(message, _REPLICATION):
            self._step(link, message)
            return
        match message:
            case replication.Greeting():
                self._peer_ids[link] = message.id
                self._ids_by_name[link.name] = message.id
                self._replicator.greet(message)
            case replication.Propose():
                self._propose(message, link.send)
            case replication.Proposed():
                now = self._reactor.now()
                self._carry_out(self._proposer.handle(message, link.name, now))
            case configuration.Subscribe():
                self._subscribers[link] = message.revision
                link.send(self._machine.store.get_since(message.revision))
            case configuration.Report():
                self._reports.add(message, self._reactor.now())
            case operators.StatusReply():
                self._queries.get(message.query, []).append(message)
            case _:
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
        reply: replication_task.Reply,
    ) -> None:
        try:
            command = codec.unpack(proposal.command)
        except core_errors.FrameError as error:
            LOG.warning('proposal ignored', error=str(error))
            return
        if not isinstance(command, _COMMANDS):
            LOG.warning('proposal ignored', kind=type(command).__name__)
            return
        self._replicator.propose(proposal, reply)
        self._flush_soon()

    def _carry_out(self, effects: proposer_module.Effects) -> None:
        for effect in effects:
            match effect:
                case proposer_module.Ask():
                    self._ask(effect)
                case proposer_module.Answer():
                    reply = self._answers.pop(effect.proposal, None)
                    if reply is not None:
                        reply(effect.reply)

    def _ask(self, ask: proposer_module.Ask) -> None:
        own = self._identity.instance
        if ask.to == own:
            self._propose(ask.message, functools.partial(self._hear, own))
            return
        for link in self._hub.get_links(core_const.ROLE_CONTROL):
            if link.dialled and link.name == ask.to:
                link.send(ask.message)

    def _hear(self, sender: str, message: replication.Proposed) -> None:
        now = self._reactor.now()
        self._carry_out(self._proposer.handle(message, sender, now))

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

    def change(
        self, change: configuration.Change
    ) -> configuration.ChangeAnswer | None:
        """Propose a change and wait for its answer."""
        timeout_s = operators_const.ACCEPT_TIMEOUT_S
        data = mailbox.ask(
            self._reactor,
            lambda reply: self.submit(change, timeout_s, reply),
            timeout_s + 1,
        )
        return codec.unpack(data) if data else None

    def list_records(self) -> configuration.Records:
        """Return every record."""
        listed: configuration.Records | None = mailbox.ask(
            self._reactor,
            lambda reply: reply(self._machine.store.get_since(0)),
            operators_const.ACCEPT_TIMEOUT_S,
        )
        return listed or configuration.Records(since=0, revision=0, records=[])

    def leave_target(self, target: str) -> None:
        """Order a target to leave; callable from any thread."""
        self._reactor.post(lambda: self._spread_leave(target))

    def _spread_leave(self, target: str) -> None:
        for link in self._hub.get_links(core_const.ROLE_ENTRY):
            link.send(dispatch.Leave(target=target))

    def describe(self) -> dict[str, typing.Any]:
        """Return the status for operators."""
        status = mailbox.ask(
            self._reactor,
            self._begin_describe,
            operators_const.ACCEPT_TIMEOUT_S,
        )
        return status or {}

    def _begin_describe(self, reply: mailbox.Reply) -> None:
        query = self._random.getrandbits(63)
        self._queries[query] = []
        for link in self._choose_witnesses():
            link.send(operators.StatusQuery(query=query))
        self._reactor.call_later(
            operators_const.STATUS_WAIT_S,
            lambda: reply(self._end_describe(query)),
        )

    def _choose_witnesses(self) -> list[links.Link]:
        """Return one entry instance's link a failure domain."""
        chosen: dict[str, links.Link] = {}
        for link in self._hub.get_links(core_const.ROLE_ENTRY):
            assert link.peer is not None
            chosen.setdefault(link.peer.failure_domain, link)
        return list(chosen.values())

    def _end_describe(self, query: int) -> dict[str, typing.Any]:
        replies = self._queries.pop(query)
        replica = self._replicator.replica
        members = replica.get_committed_members() if replica else {}
        reports = self._reports.get_live(self._reactor.now())
        return {
            'replica': self._identity.instance,
            'leader': self._replicator.leader_name,
            'term': self._replicator.term,
            'members': sorted(members.values()),
            'member_ids': {name: str(id) for id, name in members.items()},
            'revision': self._machine.store.revision,
            'claims': len(self._machine.claims),
            'instances': [
                {
                    'instance': report.instance,
                    'failure_domain': report.failure_domain,
                    'held': report.held,
                    'in_force': report.in_force,
                    'running': report.running,
                    'is_leaving': report.is_leaving,
                    'unknown_schemas': report.unknown_schemas,
                }
                for report in reports
            ],
            'targets': operators_state.merge_targets(replies),
        }
