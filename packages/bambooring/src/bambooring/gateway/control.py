"""Run a control replica that operators and targets call over HTTP."""

import functools
import pathlib
import typing

import structlog

from bambooring.crashes import messages as crashes
from bambooring.crashes import relay as crashes_relay
from bambooring.evacuation import messages as evacuation
from bambooring.evacuation import task as evacuation_task
from bambooring.experts import rebalancer_types
from bambooring.forwarding import dialect as dialect_module
from bambooring.gateway import calls
from bambooring.gateway import const
from bambooring.gateway import feeds
from bambooring.gateway import groups
from bambooring.gateway import leases
from bambooring.gateway import messages as gateway
from bambooring.gateway import registrar
from bambooring import metrics
from bambooring.policy import errors as policy_errors
from bambooring.policy import messages as policy
from bambooring.policy import state as policy_state
from bambooring import replica as replica_module
from bambooring.replication import const as replication_const
from bambooring.replication import storage as storage_module
from bambooring.targets import errors as targets_errors
from bambooring.targets import messages as targets
from bambooring_core import const as core_const
from bambooring_core import decoding
from bambooring_core import errors as core_errors
from bambooring_core.http1 import const as http1_const
from bambooring_core.http1 import memory
from bambooring_core.http1 import messages as http1
from bambooring_core.http1 import server as http1_server
from bambooring_core import identity as identity_module
from bambooring_core import links
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)

HTTP_LIMITS: typing.Final = http1.Limits(
    max_header_bytes=http1_const.MAX_HEADER_BYTES,
    max_body_bytes=2 * http1_const.MAX_BODY_BYTES,
    header_timeout_s=http1_const.HEADER_TIMEOUT_S,
    idle_timeout_s=http1_const.IDLE_TIMEOUT_S,
)


class GatewayControl(replica_module.ReplicaHost):
    """Replicate the policy, and register the targets that announce themselves.

    Operators and targets call a control replica over HTTP. Entry instances
    and agents are linked to it and get what has changed.
    """

    proposable_commands = (policy.Publish, policy.Consult, evacuation.Order)

    def __init__(
        self,
        settings: gateway.Settings,
        *,
        reactor: reactor_module.Reactor,
        dialect: dialect_module.Dialect,
        incarnation: int,
        disk: storage_module.Disk | None = None,
        make_hub: links.HubFactory = links.LinkHub,
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
        hub_options = {}
        if settings.link_bind_address:
            hub_options['bind_address'] = settings.link_bind_address
        super().__init__(
            reactor=reactor,
            identity=identity,
            voter_names=sorted(settings.seeds)
            if settings.may_bootstrap
            else [],
            has_open_membership=True,
            tolerated_losses=settings.tolerated_losses,
            leave_timeout_s=min(
                replication_const.LEAVE_TIMEOUT_S, settings.stop_s / 2
            ),
            key=settings.link_key,
            disk=disk
            or storage_module.FolderDisk(pathlib.Path(settings.data_folder)),
            make_hub=functools.partial(make_hub, **hub_options),
        )
        self._logged_version = 0
        self._feeds = feeds.EntryFeeds()
        self._is_backup_scheduled = False
        self._registrar = registrar.TargetRegistrar(
            reactor=reactor,
            heartbeat_s=settings.heartbeat_s,
            get_entry_links=functools.partial(
                self._hub.get_links, core_const.ROLE_ENTRY
            ),
            get_main_links=self._feeds.list_main,
            get_control_links=self._get_control_links,
        )
        self._operator_calls = calls.OperatorCalls(
            reactor=reactor,
            submit=self.submit,
            get_term=lambda: self._replicator.term,
            get_evacuations=self._get_evacuations,
            known_domains=settings.regions_by_domain,
        )
        self._evacuation_publisher = evacuation_task.EvacuationPublisher(
            get_evacuations=self._get_evacuations,
            get_entry_links=functools.partial(
                self._hub.get_links, core_const.ROLE_ENTRY
            ),
        )
        self._lease_granter = leases.LeaseGranter(reactor, self.submit)
        self._group_manager = groups.GroupManager(
            reactor=reactor,
            get_agent_links=functools.partial(
                groups.list_agent_links, self._hub
            ),
            get_term=lambda: self._replicator.term,
            get_engine_spec=self._find_engine_spec,
            find_rank=self._registrar.find_rank,
            get_entry_links=functools.partial(
                self._hub.get_links, core_const.ROLE_ENTRY
            ),
        )
        self._engine_specs: dict[str, rebalancer_types.EngineSpec] = {}
        self._engine_specs_version = 0
        self._crash_relay = crashes_relay.CrashRelay(
            reactor=reactor,
            get_links=self._list_crash_links,
        )
        self._topology: targets.Topology | None = None
        self._server: http1_server.Server | None = None
        self._refuse_calls_from_s = float('inf')
        self._finish_by_s = float('inf')

    def run(self) -> None:
        """Run until stopped."""
        self._server = http1_server.Server(
            reactor=self._reactor,
            address=self._settings.control_address,
            limits=HTTP_LIMITS,
            handle=self._handle_call,
            count_refused=self._count_refused,
            budget=memory.make_budget(self._settings.memory_bytes),
            max_descriptors=memory.get_callers_descriptors(
                self._settings.max_descriptors, const.LINKS_DESCRIPTORS_SHARE
            ),
        )
        with self._hub, self._server:
            self.set_up()
            LOG.info(
                'control replica runs',
                address=self._identity.address,
                seeds=self._settings.seeds,
                may_form=self._settings.may_bootstrap,
                policy_version=self._state_machine.policy.newest.version,
            )
            self._reactor.run()
        LOG.info('control replica ends')

    def set_up(self) -> None:
        """Connect to the seeds and start the interval timers."""
        for address in self._settings.seeds:
            self._hub.keep_connected(address)
        self.set_up_replica()
        self._registrar.set_up()
        self._reactor.call_every(
            const.UPDATE_INTERVAL_S, self._update_topology
        )
        self._reactor.call_every(
            groups.TICK_INTERVAL_S, self._group_manager.tick
        )

    def connect_seeds(self, seeds: list[str]) -> None:
        """Connect to the seeds, also those of changed settings."""
        for address in seeds:
            self._hub.keep_connected(address)

    def _leave(self) -> None:
        if self._is_stopping:
            return
        if self._server is not None:
            self._server.is_closing = True
        self._finish_by_s = (
            self._reactor.now()
            + self._settings.stop_s
            - const.STOP_KILL_MARGIN_S
        )
        super()._leave()

    def _end(self) -> None:
        """End once the calls that have been read are answered."""
        self._refuse_calls_from_s = min(
            self._reactor.now() + const.STOP_CALLS_TIMEOUT_S,
            self._finish_by_s - const.PUBLISH_TIMEOUT_S,
        )
        self._end_when_answered()

    def _end_when_answered(self) -> None:
        is_over = self._reactor.now() >= self._finish_by_s
        if is_over or self._server is None or self._is_answered(self._server):
            self._reactor.finish()
            return
        self._reactor.call_later(
            const.STOP_CALLS_INTERVAL_S, self._end_when_answered
        )

    def _is_answered(self, server: http1_server.Server) -> bool:
        """Return whether all calls are answered, so that the process may end.

        While calls are still taken, also none may wait in the backlog.
        """
        server.close_idle()
        if not self._is_refusing_calls:
            return server.stop_accepting()
        return not server.active_request_count and not server.has_unsent_output

    @property
    def _is_refusing_calls(self) -> bool:
        """Whether calls are refused, so that those read before can end."""
        return self._reactor.now() >= self._refuse_calls_from_s

    def _get_evacuations(self) -> evacuation.Evacuations:
        return self._state_machine.evacuation.evacuations

    def _get_control_links(self) -> list[links.Link]:
        """Return the links to other replicas that this one dialled."""
        return [
            link
            for link in self._hub.get_links(core_const.ROLE_CONTROL)
            if link.dialled_address is not None
        ]

    def _list_crash_links(self) -> list[links.Link]:
        """Return the links to all processes that keep what is known."""
        return [
            *self._hub.get_links(core_const.ROLE_ENTRY),
            *self._get_control_links(),
        ]

    def _count_refused(self, reason: str) -> None:
        metrics.REFUSALS.labels(reason=reason, outcome='control').inc()
        LOG.info('control call refused', reason=reason)

    def handle_link_up(self, link: links.Link) -> None:
        """Send a newly linked process what it needs to know.

        A replica is greeted and gets the targets, an agent learns whether this
        replica leads, and an entry instance gets the evacuations, the targets,
        the topology and the policy.
        """
        super().handle_link_up(link)
        assert link.peer is not None
        LOG.info('link up', peer=link.name, role=link.peer.role)
        if link.peer.role == core_const.ROLE_CONTROL:
            self._hub.keep_connected(link.peer.address)
            if link.dialled_address is not None:
                self._registrar.send_all_targets(link)
                self._crash_relay.send_all(link)
            return
        if link.peer.role == core_const.ROLE_AGENT:
            self._group_manager.greet_agent(link)
            return
        self._evacuation_publisher.greet(link)
        is_near = link.peer.failure_domain == self._settings.failure_domain
        if is_near:
            self._registrar.send_all_targets(link)
        if self._topology is not None:
            link.send(self._topology)
        self._feeds.add(link, is_main=is_near)
        self._crash_relay.send_all(link)
        self._send_policy()

    def handle_link_down(self, link: links.Link) -> None:
        """Drop the state that belongs to a link."""
        self._feeds.remove(link)
        self._registrar.handle_link_down(link)
        super().handle_link_down(link)

    def _after_flush(self) -> None:
        newest = self._state_machine.policy.newest
        if newest.version != self._logged_version:
            self._logged_version = newest.version
            LOG.info('newest policy changed', version=newest.version)
        self._evacuation_publisher.send_changes()
        self._send_policy()

    def _send_policy(self) -> None:
        """Send the newest policy to the entry instances that need it.

        Those that get it from a nearer replica are checked again later.
        """
        newest = self._state_machine.policy.newest
        for link in self._feeds.take_due(newest.version, is_backup=False):
            link.send(newest)
        if self._feeds.has_due(newest.version):
            if not self._is_backup_scheduled:
                self._is_backup_scheduled = True
                self._reactor.call_later(
                    const.POLICY_BACKUP_DELAY_S, self._send_backup_policy
                )

    def _send_backup_policy(self) -> None:
        self._is_backup_scheduled = False
        newest = self._state_machine.policy.newest
        for link in self._feeds.take_due(newest.version, is_backup=True):
            link.send(newest)

    def _update_status(
        self, link: links.Link, status: targets.EntryStatus
    ) -> None:
        """Record what an entry instance needs, and send what it lacks."""
        if self._feeds.update(link, status):
            self._registrar.send_all_targets(link)
        self._send_policy()

    def _update_topology(self) -> None:
        """Send the topology to the entry instances if it has changed.

        Also update the links to the members of the control group, and tell
        the agents who leads.
        """
        replica = self._replicator.replica
        members = replica.get_committed_members() if replica else {}
        controls = set(members.values()) | {self._identity.address}
        entries = {
            link.peer.address: link.peer.failure_domain
            for link in self._hub.get_links(core_const.ROLE_ENTRY)
            if link.peer is not None
        }
        self._update_member_links(members)
        self._group_manager.update_leadership(
            self._replicator.is_leader, sorted(controls)
        )
        topology = targets.Topology(
            entries=sorted(entries),
            controls=sorted(controls),
            entry_domains=[entries[address] for address in sorted(entries)],
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

    def _update_member_links(self, members: dict[int, str]) -> None:
        """Link to the members, and stop dialling replicas that left.

        An address that is dialled is dropped if it is neither a member's nor
        a seed's and no replica at it is linked.
        """
        wanted = set(members.values()) | set(self._settings.seeds)
        linked = {
            link.peer.address
            for link in self._hub.get_links(core_const.ROLE_CONTROL)
            if link.peer is not None
        }
        for address in set(members.values()):
            self._hub.keep_connected(address)
        if members:
            for address in self._hub.get_dialled_addresses() - wanted - linked:
                self._hub.disconnect(address)

    def _handle_member_names(self, names: list[str]) -> None:
        """Link to the voters that another replica knows of.

        The seeds of a new replica may not name the leader, and the leader
        doesn't take in a replica that it isn't linked to.
        """
        for address in names:
            self._hub.keep_connected(address)

    def _handle_other_message(
        self, link: links.Link, message: typing.Any
    ) -> None:
        match message:
            case targets.Announced():
                self._registrar.merge_announced(link, message)
            case targets.AnnouncedReply():
                self._registrar.handle_confirmation(link, message)
            case crashes.CrashNews():
                self._crash_relay.handle(link, message)
            case targets.EntryStatus():
                self._update_status(link, message)
            case policy.LeaseRequest():
                self._lease_granter.add_request(link, message)
            case evacuation.EvacuationsRequest():
                self._evacuation_publisher.handle_request(link, message)
            case _:
                if not self._group_manager.handle_message(link, message):
                    super()._handle_other_message(link, message)

    def _find_engine_spec(
        self, service_name: str
    ) -> rebalancer_types.EngineSpec | None:
        """Return the description of a service's engines.

        It is decoded again whenever the policy changes.

        :returns: None if the engines have no experts, or if no policy is known
            yet, as after a reload of the log
        """
        newest = self._state_machine.policy.newest
        if not newest.version:
            return None
        if newest.version != self._engine_specs_version:
            self._engine_specs_version = newest.version
            self._engine_specs = self._read_engine_specs(newest)
        return self._engine_specs.get(service_name)

    def _read_engine_specs(
        self, document: policy.Document
    ) -> dict[str, rebalancer_types.EngineSpec]:
        text = policy_state.decompress(document.document)
        try:
            decoded = decoding.contain(
                'policy', lambda: self._dialect.read_policy(text)
            )
        except (
            policy_errors.PolicyError,
            core_errors.DecoderFaultError,
        ) as error:
            # It may have been accepted by an earlier release.
            LOG.error(
                'policy unreadable', version=document.version, error=str(error)
            )
            return {}
        return {
            service.name: rebalancer_types.EngineSpec(
                slots_per_rank=service.experts.slots_per_rank,
                spare_slots=service.experts.spare_slots,
                expert_share=service.experts.expert_share,
                copy_s=service.experts.copy_s,
            )
            for service in decoded.services
            if service.experts is not None
        }

    def _handle_call(self, exchange: http1_server.Exchange) -> None:
        """Handle a call of an operator or a target."""
        if self._is_refusing_calls:
            LOG.info('call refused: stopping')
            calls.respond(exchange, 503, 'stopping')
            return
        try:
            call = decoding.contain(
                'call',
                lambda: self._dialect.read_control_call(exchange.request),
            )
        except policy_errors.PolicyError as error:
            LOG.info('policy refused', reason=error.reason, detail=str(error))
            metrics.REFUSALS.labels(
                reason=error.reason, outcome='policy'
            ).inc()
            calls.respond(exchange, 422, str(error))
            return
        except targets_errors.AnnouncementError as error:
            LOG.info('announcement refused', detail=str(error))
            metrics.REFUSALS.labels(reason='announcement', outcome='400').inc()
            calls.respond(exchange, 400, str(error))
            return
        except core_errors.DecoderFaultError as error:
            LOG.info('call not decoded', detail=str(error))
            metrics.REFUSALS.labels(reason='call', outcome='503').inc()
            calls.respond(exchange, 503, 'cannot be decoded here')
            return
        match call:
            case dialect_module.AnnounceTargetCall():
                self._registrar.handle_announcement(exchange, call.target)
            case dialect_module.WithdrawTargetCall():
                self._registrar.handle_withdrawal(exchange, call)
            case _:
                self._operator_calls.handle(exchange, call)
