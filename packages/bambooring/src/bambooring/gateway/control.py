"""Run a control replica that operators and targets call over HTTP."""

import functools
import pathlib
import typing

import structlog

from bambooring.experts import rebalancer_types
from bambooring.forwarding import dialect as dialect_module
from bambooring.gateway import const
from bambooring.gateway import groups
from bambooring.gateway import leases
from bambooring.gateway import messages as gateway
from bambooring.gateway import registrations
from bambooring import metrics
from bambooring.policy import errors as policy_errors
from bambooring.policy import messages as policy
from bambooring.policy import state as policy_state
from bambooring import replica as replica_module
from bambooring.replication import storage as storage_module
from bambooring.targets import errors as targets_errors
from bambooring.targets import messages as targets
from bambooring_core import codec
from bambooring_core import const as core_const
from bambooring_core.http1 import const as http1_const
from bambooring_core.http1 import messages as http1
from bambooring_core.http1 import server as http1_server
from bambooring_core import identity as identity_module
from bambooring_core import links
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)

LIMITS: typing.Final = http1.Limits(
    max_header_bytes=http1_const.MAX_HEADER_BYTES,
    max_body_bytes=2 * http1_const.MAX_BODY_BYTES,
    header_timeout_s=http1_const.HEADER_TIMEOUT_S,
    idle_timeout_s=http1_const.IDLE_TIMEOUT_S,
)

_JSON: typing.Final = (b'Content-Type', b'application/json')


class GatewayControl(replica_module.ReplicaHost):
    """Hold the policy with the other replicas, and the announced targets."""

    proposable_commands = (policy.Publish, policy.Consult)

    def __init__(
        self,
        settings: gateway.Settings,
        *,
        reactor: reactor_module.Reactor,
        dialect: dialect_module.Dialect,
        incarnation: int,
        disk: storage_module.Disk | None = None,
        make_hub: links.MakeHub = links.LinkHub,
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        identity = identity_module.Identity(
            cluster=settings.cluster,
            instance=settings.link_address,
            role=core_const.ROLE_CONTROL,
            failure_domain=settings.failure_domain,
            address=settings.link_address,
            incarnation=incarnation,
        )
        listening = {}
        if settings.bind_address:
            listening['bind_address'] = settings.bind_address
        super().__init__(
            reactor=reactor,
            identity=identity,
            voter_names=sorted(settings.seeds) if settings.may_form else [],
            has_open_membership=True,
            key=settings.key,
            disk=disk
            or storage_module.FolderDisk(pathlib.Path(settings.data_folder)),
            make_hub=functools.partial(make_hub, **listening),
        )
        self._pushed = 0
        self._told: dict[links.Link, int] = {}
        self._registrations = registrations.Registrations(
            reactor=reactor,
            heartbeat_s=settings.heartbeat_s,
            get_entries=functools.partial(
                self._hub.get_links, core_const.ROLE_ENTRY
            ),
            get_controls=self._get_control_links,
        )
        self._leases = leases.LeaseOffice(reactor, self.submit)
        self._groups = groups.GroupOffice(
            reactor=reactor,
            get_agents=functools.partial(groups.list_agents, self._hub),
            get_term=lambda: self._replicator.term,
            get_model=self._find_model,
            get_entries=functools.partial(
                self._hub.get_links, core_const.ROLE_ENTRY
            ),
        )
        self._models: dict[str, rebalancer_types.EngineSpec] = {}
        self._models_version = 0
        self._topology: targets.Topology | None = None
        self._server: http1_server.Server | None = None

    def run(self) -> None:
        """Run until stopped."""
        self._server = http1_server.Server(
            reactor=self._reactor,
            address=self._settings.control_address,
            limits=LIMITS,
            handle=self._handle,
            count_refused=self._count_refused,
        )
        with self._hub, self._server:
            self.set_up()
            LOG.info(
                'control replica runs',
                address=self._identity.address,
                seeds=self._settings.seeds,
                may_form=self._settings.may_form,
                policy_version=self._state_machine.policy.newest.version,
            )
            self._reactor.run()
        LOG.info('control replica ends')

    def set_up(self) -> None:
        """Begin to dial and what is done at intervals."""
        for address in self._settings.seeds:
            self._hub.keep(address)
        self.set_up_replica()
        self._registrations.set_up()
        self._reactor.call_every(
            const.REFRESH_INTERVAL_S, self._spread_topology
        )
        self._reactor.call_every(groups.TICK_INTERVAL_S, self._groups.tick)

    def keep_seeds(self, seeds: list[str]) -> None:
        """Link to the seeds of changed settings."""
        for address in seeds:
            self._hub.keep(address)

    def _leave(self) -> None:
        if self._server is not None:
            self._server.is_closing = True
        super()._leave()

    def _get_control_links(self) -> list[links.Link]:
        return [
            link
            for link in self._hub.get_links(core_const.ROLE_CONTROL)
            if link.dialled is not None
        ]

    def _count_refused(self, reason: str) -> None:
        metrics.REFUSALS.labels(reason=reason, outcome='control').inc()
        LOG.info('control call refused', reason=reason)

    def link_up(self, link: links.Link) -> None:
        """Greet a replica, or tell an entry instance all that is known."""
        super().link_up(link)
        assert link.peer is not None
        LOG.info('link up', peer=link.name, role=link.peer.role)
        if link.peer.role == core_const.ROLE_CONTROL:
            self._hub.keep(link.peer.address)
            if link.dialled is not None:
                self._registrations.tell_all(link)
            return
        if link.peer.role == core_const.ROLE_AGENT:
            self._groups.link_up(link)
            return
        self._registrations.tell_all(link)
        if self._topology is not None:
            link.send(self._topology)
        self._told[link] = 0
        self._push_policy()

    def link_down(self, link: links.Link) -> None:
        """Forget what hung on a link."""
        self._told.pop(link, None)
        self._registrations.forget_link(link)
        super().link_down(link)

    def _after_flush(self) -> None:
        held = self._state_machine.policy.newest
        if held.version != self._pushed:
            self._pushed = held.version
            LOG.info('policy held', version=held.version)
        self._push_policy()

    def _push_policy(self) -> None:
        held = self._state_machine.policy.newest
        for link, version in self._told.items():
            if version < held.version:
                self._told[link] = held.version
                link.send(held)

    def _spread_topology(self) -> None:
        """Tell the entry instances who is there, when that has changed."""
        replica = self._replicator.replica
        members = replica.get_committed_members() if replica else {}
        controls = set(members.values()) | {self._identity.address}
        entries = {
            link.peer.address
            for link in self._hub.get_links(core_const.ROLE_ENTRY)
            if link.peer is not None
        }
        self._keep_members(members)
        self._groups.attend(self._replicator.is_leader, sorted(controls))
        topology = targets.Topology(
            entries=sorted(entries), controls=sorted(controls)
        )
        if topology == self._topology:
            return
        self._topology = topology
        LOG.info(
            'topology changed',
            entries=len(topology.entries),
            controls=topology.controls,
        )
        for link in self._hub.get_links(core_const.ROLE_ENTRY):
            link.send(topology)

    def _keep_members(self, members: dict[int, str]) -> None:
        wanted = set(members.values()) | set(self._settings.seeds)
        linked = {
            link.peer.address
            for link in self._hub.get_links(core_const.ROLE_CONTROL)
            if link.peer is not None
        }
        for address in set(members.values()):
            self._hub.keep(address)
        if members:
            for address in self._hub.get_dialled() - wanted - linked:
                self._hub.drop(address)

    def _handle_other_message(
        self, link: links.Link, message: typing.Any
    ) -> None:
        match message:
            case targets.Announced():
                self._registrations.take(link, message)
            case targets.AnnouncedReply():
                self._registrations.confirm(link, message)
            case policy.LeaseRequest():
                self._leases.take(link, message)
            case _:
                if not self._groups.receive(link, message):
                    super()._handle_other_message(link, message)

    def _find_model(
        self, group_service: str
    ) -> rebalancer_types.EngineSpec | None:
        """Return the description of the engines that have experts."""
        held = self._state_machine.policy.newest
        if held.version != self._models_version:
            self._models_version = held.version
            document = policy_state.decompress(held.document)
            decoded = self._dialect.read_policy(document)
            self._models = {
                one.name: rebalancer_types.EngineSpec(
                    slots_per_rank=one.experts.slots_per_rank,
                    spare_slots=one.experts.spare_slots,
                    expert_share=one.experts.expert_share,
                    copy_s=one.experts.copy_s,
                )
                for one in decoded.services
                if one.experts is not None
            }
        return self._models.get(group_service)

    def _handle(self, exchange: http1_server.Exchange) -> None:
        """Answer a call of an operator or a target."""
        try:
            call = self._dialect.read_control_call(exchange.request)
        except policy_errors.PolicyError as error:
            LOG.info('policy refused', reason=error.reason, detail=str(error))
            metrics.REFUSALS.labels(
                reason=error.reason, outcome='policy'
            ).inc()
            _answer(exchange, 422, str(error))
            return
        except targets_errors.AnnouncementError as error:
            LOG.info('announcement refused', detail=str(error))
            metrics.REFUSALS.labels(reason='announcement', outcome='400').inc()
            _answer(exchange, 400, str(error))
            return
        match call:
            case dialect_module.PublishPolicyCall():
                self._publish(exchange, call)
            case dialect_module.ReadPolicyCall():
                self._read(exchange)
            case dialect_module.AnnounceTargetCall():
                self._registrations.announce(exchange, call.target)
            case dialect_module.WithdrawTargetCall():
                self._registrations.withdraw(exchange, call)
            case _:
                _answer(exchange, 404, 'unknown call')

    def _publish(
        self,
        exchange: http1_server.Exchange,
        call: dialect_module.PublishPolicyCall,
    ) -> None:
        command = policy.Publish(
            version=call.policy.version,
            digest=call.digest,
            document=policy_state.compress(call.document),
        )
        self.submit(
            command,
            const.PUBLISH_TIMEOUT_S,
            functools.partial(self._answer_publish, exchange, command.version),
        )

    def _answer_publish(
        self,
        exchange: http1_server.Exchange,
        version: int,
        reply: bytes | None,
    ) -> None:
        if reply is None:
            LOG.info('publication without an answer', version=version)
            _answer(exchange, 503, 'no majority in time')
            return
        published = codec.unpack(reply)
        LOG.info(
            'policy published',
            version=version,
            held=published.version,
            outcome=published.outcome,
            term=self._replicator.term,
        )
        if published.outcome is policy.PublishOutcome.CONFLICT:
            _answer(exchange, 409, 'other content under this version')
        else:
            _answer(exchange, 200, '')

    def _read(self, exchange: http1_server.Exchange) -> None:
        self.submit(
            policy.Consult(is_whole=True),
            const.READ_TIMEOUT_S,
            functools.partial(self._answer_read, exchange),
        )

    def _answer_read(
        self, exchange: http1_server.Exchange, reply: bytes | None
    ) -> None:
        if reply is None:
            _answer(exchange, 503, 'no majority in time')
            return
        document = codec.unpack(reply)
        if not document.version:
            _answer(exchange, 503, 'no policy yet')
            return
        if not exchange.is_done:
            body = policy_state.decompress(document.document)
            exchange.respond(200, [_JSON], body)


def _answer(exchange: http1_server.Exchange, status: int, detail: str) -> None:
    """Answer a call unless its caller has gone."""
    if exchange.is_done:
        return
    body = b'{}'
    headers: http1.Headers = [_JSON]
    if detail:
        headers = [(b'Content-Type', b'text/plain')]
        body = f'{detail}\n'.encode()
    exchange.respond(status, headers, body)
