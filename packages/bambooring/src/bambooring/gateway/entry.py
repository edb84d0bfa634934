"""Run an entry instance that sends requests to targets itself."""

import functools
import random
import typing

import structlog

from bambooring.balancing import bodies
from bambooring.balancing import const as balancing_const
from bambooring.balancing import state as balancing
from bambooring.crashes import messages as crashes
from bambooring.crashes import task as crashes_task
from bambooring.evacuation import messages as evacuation
from bambooring.evacuation import task as evacuation_task
from bambooring.forwarding import dialect as dialect_module
from bambooring.forwarding import task as forwarding
from bambooring.gateway import announcements
from bambooring.gateway import beliefs
from bambooring.gateway import const
from bambooring.gateway import messages as gateway
from bambooring.gateway import permits as permits_task
from bambooring.gateway import servers
from bambooring.gateway import stops
from bambooring.gateway import topologies
from bambooring.loads import exchange as exchange_module
from bambooring.loads import task as loads_task
from bambooring.policy import errors as policy_errors
from bambooring.policy import lease as lease_module
from bambooring.policy import messages as policy
from bambooring.policy import state as policy_state
from bambooring.routing import budget as budget_module
from bambooring.targets import messages as targets
from bambooring_core import clock as clock_module
from bambooring_core import const as core_const
from bambooring_core import decoding
from bambooring_core import errors as core_errors
from bambooring_core.http1 import client
from bambooring_core.http1 import memory
from bambooring_core.http1 import server as http1_server
from bambooring_core import identity as identity_module
from bambooring_core import links
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)


class GatewayEntry:
    """Forward callers' requests to targets.

    Linked control replicas send it the policy, the evacuations, the targets,
    their slow ranks and the topology. They also grant the lease that proves
    that its policy is the newest. Entry instances send each other load reports
    as datagrams.
    """

    def __init__(
        self,
        settings: gateway.Settings,
        *,
        reactor: reactor_module.Reactor,
        dialect: dialect_module.Dialect,
        incarnation: int,
        lease_clock: clock_module.Clock | None = None,
        make_hub: links.HubFactory = links.LinkHub,
    ) -> None:
        self._settings = settings
        self._reactor = reactor
        self._dialect = dialect
        self._incarnation = incarnation
        self._lease_clock = lease_clock or clock_module.BootClock()
        rng = random.Random(incarnation)
        self._rng = rng
        self._lease = lease_module.Lease(
            settings.revoke_s * const.LEASE_DURATION_SHARE
        )
        self._balancer = balancing.Balancer(
            settings.failure_domain,
            rng,
            known_domains=settings.regions_by_domain,
            boot_clock=self._lease_clock,
            own_address=settings.link_address,
            shares_health=settings.shares_health,
            prefers_own_domain=settings.prefers_own_domain,
            byte_cost_s_per_mb=settings.byte_cost_s_per_mb,
        )
        self._evacuations = evacuation_task.EvacuationReceiver(
            self._evacuate_domains
        )
        self._budget = budget_module.RetryBudget(reactor.now())
        self._crash_guard = crashes_task.CrashGuard(
            reactor=reactor, send_news=self._send_crash_news
        )
        if settings.memory_bytes:
            self._balancer.bodies.limit_bytes = bodies.MAX_BYTES_PER_TARGET
        self._memory_budget = memory.make_budget(settings.memory_bytes)
        self.forwarder = forwarding.Forwarder(
            reactor=reactor,
            dialect=dialect,
            balancer=self._balancer,
            lease=self._lease,
            lease_clock=self._lease_clock,
            budget=self._budget,
            crash_guard=self._crash_guard,
            rng=rng,
            schedule_load_report=self._schedule_load_report,
            regions_by_domain=settings.regions_by_domain,
            make_call=functools.partial(
                client.Call,
                has_bounded_buffers=self._memory_budget.is_limited,
            ),
        )
        self._load_reporter = loads_task.LoadReporter(
            reactor=reactor,
            boot_clock=self._lease_clock,
            exchange=exchange_module.LoadExchange(
                loads=self._balancer.loads,
                own_address=settings.link_address,
                failure_domain=settings.failure_domain,
                incarnation=incarnation,
                boot_now_s=self._lease_clock.now(),
            ),
            address=settings.link_address,
            key=settings.link_key,
            make_report=self._make_load_report,
            is_busy=self._is_busy,
            handle_news=self._handle_load_news,
        )
        self._permit_requester = permits_task.PermitRequester(
            settings=settings,
            reactor=reactor,
            cold=self._balancer.cold,
            incarnation=incarnation,
            rng=rng,
            dispatcher=self.forwarder.dispatcher,
        )
        identity = identity_module.Identity(
            cluster=settings.cluster,
            instance=settings.instance,
            role=core_const.ROLE_ENTRY,
            failure_domain=settings.failure_domain,
            address=settings.link_address,
            incarnation=incarnation,
        )
        self._hub = make_hub(
            reactor=reactor,
            identity=identity,
            key=settings.link_key,
            handler=self,
        )
        self._announcements = announcements.AnnouncementReceiver(
            heartbeat_s=settings.heartbeat_s,
            reactor=reactor,
            hub=self._hub,
            balancer=self._balancer,
            dispatcher=self.forwarder.dispatcher,
        )
        self._topologies = topologies.TopologyReceiver(
            own_address=settings.link_address,
            seeds=settings.seeds,
            hub=self._hub,
            load_reporter=self._load_reporter,
            balancer=self._balancer,
            set_retry_budget=self._set_retry_budget,
        )
        self._logged_limits: dict[str, float] = {}
        self._was_ready = False
        self._set_retry_budget(1)
        self._caller_server = servers.make_server(
            settings,
            reactor=reactor,
            address=settings.callers_address,
            handle=self.forwarder.handle,
            budget=self._memory_budget,
        )
        self._ready_server = servers.make_server(
            settings,
            reactor=reactor,
            address=settings.ready_address,
            handle=self._respond_to_ready,
            budget=self._memory_budget,
        )
        self._stop = stops.GracefulStop(
            stop_s=settings.stop_s,
            reactor=reactor,
            forwarder=self.forwarder,
            server=self._caller_server,
        )

    def run(self) -> None:
        """Run until stopped."""
        with (
            self._hub,
            self._ready_server,
            self._caller_server,
            self._load_reporter,
            self._permit_requester,
        ):
            self.set_up()
            LOG.info(
                'entry instance runs',
                address=self._settings.callers_address,
                seeds=self._settings.seeds,
            )
            self._reactor.run()
        LOG.info('entry instance ends')

    def set_up(self) -> None:
        """Start to report load, connect and start the timers."""
        self._load_reporter.set_up()
        self._permit_requester.set_up()
        self.connect_seeds(self._settings.seeds)
        self._reactor.call_every(
            const.LEASE_REQUEST_INTERVAL_S, self._request_lease
        )
        self._reactor.call_every(
            const.EXPIRY_INTERVAL_S, self._announcements.expire
        )
        self._reactor.call_every(
            balancing_const.LIMIT_ADJUST_INTERVAL_S, self._adjust_limits
        )

    def connect_seeds(self, seeds: list[str]) -> None:
        """Connect to the seeds, also those of changed settings."""
        for address in seeds:
            self._hub.keep_connected(address)

    @property
    def is_ready(self) -> bool:
        """Return whether callers should send requests to this instance."""
        return (
            not self._stop.is_begun
            and self.forwarder.policy_table is not None
            and self._lease.is_valid(self._lease_clock.now())
        )

    def _respond_to_ready(self, exchange: http1_server.Exchange) -> None:
        is_ready = self.is_ready
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            lease_age_s = self._lease.get_age_s(self._lease_clock.now())
            LOG.info(
                'readiness changed',
                is_ready=is_ready,
                is_stopping=self._stop.is_begun,
                has_policy=self.forwarder.policy_table is not None,
                has_lease=lease_age_s < self._lease.duration_s,
            )
        exchange.respond(200 if is_ready else 503, [], b'')

    def handle_link_up(self, link: links.Link) -> None:
        """Request a lease as soon as a control replica is linked."""
        LOG.info('control replica linked', peer=link.name)
        self._send_status()
        self._request_lease()
        crash_news = self._crash_guard.list_all()
        if not crash_news.is_empty:
            link.send(crash_news)

    def _send_crash_news(self, news: crashes.CrashNews) -> None:
        """Tell all control replicas, which tell the other entry instances."""
        for link in self._hub.get_links(core_const.ROLE_CONTROL):
            link.send(news)

    def _send_status(self) -> None:
        """Tell each control replica what this instance needs from it."""
        controls = self._hub.get_links(core_const.ROLE_CONTROL)
        near = [
            link
            for link in controls
            if link.peer is not None
            and link.peer.failure_domain == self._settings.failure_domain
        ]
        table = self.forwarder.policy_table
        for link in controls:
            link.send(
                targets.EntryStatus(
                    is_main=not near or link in near,
                    policy_version=table.version if table else 0,
                )
            )

    def handle_link_down(self, link: links.Link) -> None:
        """Drop the topology that came from a lost control replica."""
        self._topologies.remove(link)
        self._send_status()
        remaining = len(self._hub.get_links(core_const.ROLE_CONTROL))
        LOG.info('control replica lost', peer=link.name, left=remaining)

    def handle_message(self, link: links.Link, message: typing.Any) -> None:
        """Handle one message from a control replica."""
        match message:
            case policy.Document():
                self._apply_policy(link, message)
            case policy.LeaseGrant():
                self._apply_grant(link, message)
            case evacuation.Evacuations():
                self._evacuations.apply(message, link.name)
            case targets.Announced():
                self._announcements.apply(link, message)
            case targets.GroupPaces():
                self._apply_slowdowns(message)
            case crashes.CrashNews():
                self._crash_guard.merge(message, link.name)
            case targets.Topology():
                self._topologies.apply(link, message)
            case _:
                LOG.warning('message ignored', kind=type(message).__name__)

    def _apply_slowdowns(self, message: targets.GroupPaces) -> None:
        if self._balancer.update_slowdowns(message, self._reactor.now()):
            LOG.info(
                'slow ranks known',
                group=message.group,
                slowest=round(max(message.paces, default=1.0), 1),
            )

    def _apply_policy(
        self, link: links.Link, message: policy.Document
    ) -> None:
        table = self.forwarder.policy_table
        if table is not None and message.version <= table.version:
            return
        document = policy_state.decompress(message.document)
        try:
            decoded = decoding.contain(
                'policy', lambda: self._dialect.read_policy(document)
            )
        except (
            policy_errors.PolicyError,
            core_errors.DecoderFaultError,
        ) as error:
            LOG.error(
                'policy unreadable', version=message.version, error=str(error)
            )
            return
        self.forwarder.policy_table = policy_state.PolicyTable(decoded)
        self._permit_requester.set_services(decoded.services)
        self._caller_server.limits = servers.make_limits(decoded.limits)
        LOG.info(
            'policy in force',
            version=message.version,
            before=table.version if table else 0,
            source=link.name,
            routes=len(decoded.routes),
        )
        self._send_status()
        self._request_lease()

    def _request_lease(self) -> None:
        table = self.forwarder.policy_table
        version = table.version if table else 0
        now_s = self._lease_clock.now()
        request = self._lease.make_request(version, now_s)
        controls = self._hub.get_links(core_const.ROLE_CONTROL)
        if not controls:
            return
        # One replica is enough while the lease is fresh. If it is not, one of
        # them may be unable to grant it, so all of them are asked.
        if self._lease.get_age_s(now_s) < 3 * const.LEASE_REQUEST_INTERVAL_S:
            controls = [self._rng.choice(controls)]
        for link in controls:
            link.send(request)

    def _evacuate_domains(self, domains: list[str]) -> None:
        self._balancer.set_evacuated_domains(domains)
        self.forwarder.dispatcher.dispatch_queued()
        if not self._lease.is_valid(self._lease_clock.now()):
            self._request_lease()

    def _apply_grant(self, link: links.Link, grant: policy.LeaseGrant) -> None:
        # Like a newer policy, newer evacuations must be in force before the
        # lease is renewed, so that no instance goes on without them for
        # longer than a lease lasts.
        if self._evacuations.request_newer(link, grant.evacuation_revision):
            return
        table = self.forwarder.policy_table
        if table is None:
            return
        was_valid = self._lease.is_valid(self._lease_clock.now())
        if not self._lease.apply_grant(grant, table.version):
            LOG.info(
                'newer policy exists',
                newest=grant.version,
                in_force=table.version,
            )
        if not was_valid and self._lease.is_valid(self._lease_clock.now()):
            LOG.info('lease regained', version=table.version)
            self.forwarder.dispatcher.order.backlog.record_own_outage_end(
                self._reactor.now()
            )

    def _set_retry_budget(self, instance_count: int) -> None:
        """Set the retry budget to this instance's share of the total.

        :param instance_count: the number of entry instances
        """
        settings = self._settings
        rates = budget_module.share_rates(
            slack=settings.retry_slack,
            window_s=settings.retry_window_s,
            instance_count=instance_count,
        )
        self._budget.set_rates(
            ratio=settings.retry_ratio * const.RETRY_BUDGET_SHARE,
            refill_per_s=rates.refill_per_s,
            capacity=rates.capacity,
        )

    def _adjust_limits(self) -> None:
        beliefs.log_health_changes(
            self._balancer.refresh_health(self._reactor.now())
        )
        beliefs.log_share_changes(self._balancer.spill)
        limits = self._balancer.adjust_limits()
        if limits != self._logged_limits:
            for service, limit in limits.items():
                LOG.info(
                    'limit of running requests',
                    service=service,
                    per_target=limit,
                )
            self._logged_limits = limits
        self.forwarder.dispatcher.dispatch_queued()

    def _schedule_load_report(self, delay_s: float) -> None:
        self._load_reporter.schedule_report(delay_s)

    def _make_load_report(self) -> targets.Load:
        return self._balancer.make_load_report(
            self._settings.link_address,
            self._incarnation,
            self.forwarder.dispatcher.count_queued(),
            self.forwarder.dispatcher.count_queued_by_urgency(),
        )

    def _is_busy(self) -> bool:
        return (
            self._balancer.has_running_requests
            or self._balancer.has_health_news
            # A failure domain that says nothing counts as cut off.
            or self._settings.prefers_own_domain
            or self.forwarder.pending_count > 0
        )

    def _handle_load_news(self) -> None:
        if self.forwarder.dispatcher.count_queued():
            self.forwarder.dispatcher.dispatch_queued()

    def leave(self) -> None:
        """Stop once no connection is open; callable from any thread.

        New connections are accepted for a while, and idle ones are closed
        after that. Requests that still run shortly before the time limit are
        stopped.
        """
        self._reactor.post(self._leave)

    def _leave(self) -> None:
        self._stop.begin()
