"""Run an entry instance that offers requests to targets itself."""

import random
import selectors
import socket
import typing

import structlog

from bambooring.balancing import const as balancing_const
from bambooring.balancing import state as balancing
from bambooring.forwarding import dialect as dialect_module
from bambooring.forwarding import task as forwarding
from bambooring.gateway import const
from bambooring.gateway import messages as gateway
from bambooring import metrics
from bambooring.policy import errors as policy_errors
from bambooring.policy import lease as lease_module
from bambooring.policy import messages as policy
from bambooring.policy import state as policy_state
from bambooring.routing import budget as budget_module
from bambooring.targets import messages as targets
from bambooring.targets import state as targets_state
from bambooring_core import clock as clock_module
from bambooring_core import codec
from bambooring_core import const as core_const
from bambooring_core import errors as core_errors
from bambooring_core.http1 import const as http1_const
from bambooring_core.http1 import messages as http1
from bambooring_core.http1 import server as http1_server
from bambooring_core import identity as identity_module
from bambooring_core import links
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)


class GatewayEntry:
    """Hold what an entry instance knows, and serve callers by it."""

    def __init__(
        self,
        settings: gateway.Settings,
        *,
        reactor: reactor_module.Reactor,
        dialect: dialect_module.Dialect,
        incarnation: int,
        lease_clock: clock_module.Clock | None = None,
        make_hub: links.MakeHub = links.LinkHub,
    ) -> None:
        self._settings = settings
        self._reactor = reactor
        self._dialect = dialect
        self._incarnation = incarnation
        self._lease_clock = lease_clock or clock_module.BootClock()
        rng = random.Random(incarnation)
        self._rng = rng
        self._lease = lease_module.Lease(settings.revoke_s * const.LEASE_SHARE)
        self._registry = targets_state.Registry(settings.heartbeat_s)
        self._balancer = balancing.Balancer(settings.failure_domain, rng)
        self._budget = budget_module.RetryBudget(reactor.now())
        self.forwarder = forwarding.Forwarder(
            reactor=reactor,
            dialect=dialect,
            balancer=self._balancer,
            lease=self._lease,
            lease_clock=self._lease_clock,
            budget=self._budget,
            rng=rng,
            schedule_load_report=self._schedule_load,
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
            key=settings.key,
            handler=self,
        )
        self._topologies: dict[links.Link, targets.Topology] = {}
        self._peers: list[tuple[str, int]] = []
        self._load_timer: reactor_module.Timer | None = None
        self._load_sent_s = 0.0
        self._limits: dict[str, float] = {}
        self._is_stopping = False
        self._was_ready = False
        self._set_budget(1)
        self._callers = self._make_server(
            settings.callers_address, self.forwarder.handle
        )
        self._ready = self._make_server(
            settings.ready_address, self._answer_ready
        )
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def _make_server(
        self, address: str, handle: http1_server.Handle
    ) -> http1_server.Server:
        return http1_server.Server(
            reactor=self._reactor,
            address=address,
            limits=http1.Limits(
                max_header_bytes=http1_const.MAX_HEADER_BYTES,
                max_body_bytes=http1_const.MAX_BODY_BYTES,
                header_timeout_s=http1_const.HEADER_TIMEOUT_S,
                idle_timeout_s=http1_const.IDLE_TIMEOUT_S,
            ),
            handle=handle,
            count_refused=_count_refused,
        )

    def run(self) -> None:
        """Run until stopped."""
        with self._hub, self._ready, self._callers, self._socket:
            self.set_up()
            LOG.info(
                'entry instance runs',
                address=self._settings.callers_address,
                seeds=self._settings.seeds,
            )
            self._reactor.run()
        LOG.info('entry instance ends')

    def set_up(self) -> None:
        """Begin to dial and what is done at intervals."""
        self._socket.setblocking(False)
        self._socket.bind(links.split_address(self._settings.link_address))
        self._reactor.watch(
            self._socket, selectors.EVENT_READ, self._receive_load
        )
        self.keep_seeds(self._settings.seeds)
        self._reactor.call_every(const.LEASE_INTERVAL_S, self._ask_lease)
        self._reactor.call_every(const.EXPIRY_INTERVAL_S, self._expire)
        self._reactor.call_every(
            balancing_const.LOAD_REPORT_MAX_INTERVAL_S, self._repeat_load
        )
        self._reactor.call_every(
            balancing_const.LIMIT_ADJUST_INTERVAL_S, self._adjust_limits
        )

    def keep_seeds(self, seeds: list[str]) -> None:
        """Link to the seeds, also to those of changed settings."""
        for address in seeds:
            self._hub.keep(address)

    @property
    def is_ready(self) -> bool:
        """Tell whether callers should come to this instance."""
        return (
            not self._is_stopping
            and self.forwarder.policy_table is not None
            and self._lease.is_valid(self._lease_clock.now())
        )

    def _answer_ready(self, exchange: http1_server.Exchange) -> None:
        is_ready = self.is_ready
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            lease_age_s = self._lease.get_age_s(self._lease_clock.now())
            LOG.info(
                'readiness changed',
                is_ready=is_ready,
                is_stopping=self._is_stopping,
                has_policy=self.forwarder.policy_table is not None,
                has_lease=lease_age_s < self._lease.duration_s,
            )
        exchange.respond(200 if is_ready else 503, [], b'')

    def link_up(self, link: links.Link) -> None:
        """Take note of a control replica that can be reached."""
        LOG.info('control replica linked', peer=link.name)
        self._ask_lease()

    def link_down(self, link: links.Link) -> None:
        """Take note of a control replica that is lost."""
        self._topologies.pop(link, None)
        left = len(self._hub.get_links(core_const.ROLE_CONTROL))
        LOG.info('control replica lost', peer=link.name, left=left)

    def receive(self, link: links.Link, message: typing.Any) -> None:
        """Handle one message of a control replica."""
        match message:
            case policy.Document():
                self._take_policy(link, message)
            case policy.LeaseGrant():
                self._take_grant(message)
            case targets.Announced():
                self._take_announced(link, message)
            case targets.GroupPaces():
                self._take_paces(message)
            case targets.Topology():
                self._take_topology(link, message)
            case _:
                LOG.warning('message ignored', kind=type(message).__name__)

    def _take_paces(self, paces: targets.GroupPaces) -> None:
        if self._balancer.update_slowdowns(paces, self._reactor.now()):
            LOG.info(
                'slow ranks known',
                group=paces.group,
                slowest=round(max(paces.paces, default=1.0), 1),
            )

    def _take_policy(self, link: links.Link, held: policy.Document) -> None:
        table = self.forwarder.policy_table
        if table is not None and held.version <= table.version:
            return
        document = policy_state.decompress(held.document)
        try:
            decoded = self._dialect.read_policy(document)
        except policy_errors.PolicyError as error:
            LOG.error(
                'policy unreadable', version=held.version, error=str(error)
            )
            return
        self.forwarder.policy_table = policy_state.PolicyTable(decoded)
        self._callers.limits = http1.Limits(
            max_header_bytes=decoded.limits.max_header_bytes,
            max_body_bytes=decoded.limits.max_body_bytes,
            header_timeout_s=decoded.limits.header_timeout_s,
            idle_timeout_s=decoded.limits.idle_timeout_s,
        )
        LOG.info(
            'policy in force',
            version=held.version,
            before=table.version if table else 0,
            source=link.name,
            routes=len(decoded.routes),
        )
        self._ask_lease()

    def _ask_lease(self) -> None:
        table = self.forwarder.policy_table
        version = table.version if table else 0
        now_s = self._lease_clock.now()
        request = self._lease.make_request(version, now_s)
        controls = self._hub.get_links(core_const.ROLE_CONTROL)
        if not controls:
            return
        if self._lease.get_age_s(now_s) < 3 * const.LEASE_INTERVAL_S:
            controls = [self._rng.choice(controls)]
        for link in controls:
            link.send(request)

    def _take_grant(self, grant: policy.LeaseGrant) -> None:
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

    def _take_announced(
        self, link: links.Link, message: targets.Announced
    ) -> None:
        now = self._reactor.now()
        changed = []
        for target in message.targets:
            effect = self._registry.apply_announcement(target, now)
            if effect is targets_state.AnnouncementResult.CHANGED:
                changed.append(target)
        for id in message.refreshed:
            self._registry.refresh(id, now)
        for target in changed:
            LOG.info(
                'target known',
                target=target.id,
                service=target.service,
                address=target.address,
                state=target.state,
                born=target.born_ms,
                sequence=target.sequence,
                source=link.name,
            )
        if changed:
            self._use_targets()
        if message.confirmation:
            link.send(
                targets.AnnouncedReply(confirmation=message.confirmation)
            )

    def _use_targets(self) -> None:
        self._balancer.set_targets(self._registry.list_usable())
        self.forwarder.dispatch_queued()

    def _expire(self) -> None:
        now = self._reactor.now()
        if not self._hub.get_links(core_const.ROLE_CONTROL):
            self._registry.renew_all(now)
            return
        expired = list(self._registry.expire(now))
        for target in expired:
            LOG.info('target silent', target=target.id, service=target.service)
        if expired:
            self._use_targets()

    def _take_topology(
        self, link: links.Link, topology: targets.Topology
    ) -> None:
        self._topologies[link] = topology
        entries: set[str] = set()
        controls = set(self._settings.seeds)
        for known in self._topologies.values():
            entries.update(known.entries)
            controls.update(known.controls)
        entries.discard(self._settings.link_address)
        self._peers = [links.split_address(one) for one in sorted(entries)]
        self._set_budget(len(entries) + 1)
        linked = {
            one.dialled for one in self._hub.get_links(core_const.ROLE_CONTROL)
        }
        for address in controls:
            self._hub.keep(address)
        for address in self._hub.get_dialled() - controls - linked:
            self._hub.drop(address)

    def _set_budget(self, instances: int) -> None:
        """Take this instance's share of the group's retries."""
        settings = self._settings
        slack = settings.retry_slack * const.RETRY_SHARE / instances
        self._budget.set_rates(
            ratio=settings.retry_ratio * const.RETRY_SHARE,
            refill_per_s=slack / settings.retry_window_s,
            capacity=max(2.0, slack),
        )

    def _schedule_load(self, delay_s: float) -> None:
        """Send this instance's load soon, many changes at once.

        :param delay_s: how long it may wait for further changes
        """
        now = self._reactor.now()
        due_s = self._load_sent_s + balancing_const.LOAD_REPORT_MIN_INTERVAL_S
        due_s = max(due_s, now + delay_s)
        if self._load_timer is not None:
            if self._load_timer.due <= due_s:
                return
            self._load_timer.cancel()
        self._load_timer = self._reactor.call_later(
            due_s - now, self._send_load
        )

    def _adjust_limits(self) -> None:
        limits = self._balancer.adjust_limits()
        if limits != self._limits:
            for service, limit in limits.items():
                LOG.info(
                    'limit of running requests',
                    service=service,
                    per_target=limit,
                )
            self._limits = limits
        self.forwarder.dispatch_queued()

    def _repeat_load(self) -> None:
        since_s = self._reactor.now() - self._load_sent_s
        is_busy = (
            self._balancer.has_running_requests or self.forwarder.pending_count
        )
        if is_busy and since_s >= balancing_const.LOAD_REPORT_MAX_INTERVAL_S:
            self._send_load()

    def _send_load(self) -> None:
        if self._load_timer is not None:
            self._load_timer.cancel()
            self._load_timer = None
        self._load_sent_s = self._reactor.now()
        load = self._balancer.make_load_report(
            self._settings.instance,
            self._incarnation,
            self.forwarder.count_queued(),
        )
        data = codec.pack(load)
        for peer in self._peers:
            try:
                self._socket.sendto(data, peer)
            except OSError as error:
                metrics.UNSENT_LOAD_REPORTS.labels(
                    reason=str(error.errno)
                ).inc()

    def _receive_load(self, events: int) -> None:
        changed = False
        while True:
            try:
                data = self._socket.recv(const.LOAD_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError as error:
                LOG.warning('load not received', error=str(error))
                break
            changed = self._take_load(data) or changed
        if changed and self.forwarder.count_queued():
            self.forwarder.dispatch_queued()

    def _take_load(self, data: bytes) -> bool:
        try:
            message = codec.unpack(data)
        except core_errors.FrameError as error:
            LOG.warning('datagram ignored', error=str(error))
            return False
        if not isinstance(message, targets.Load):
            LOG.warning('datagram ignored', kind=type(message).__name__)
            return False
        self._balancer.add_peer_report(message, self._reactor.now())
        return True

    def leave(self) -> None:
        """Stop without cutting a request; callable from any thread."""
        self._reactor.post(self._leave)

    def _leave(self) -> None:
        if self._is_stopping:
            return
        self._is_stopping = True
        self._callers.is_closing = True
        LOG.info('stopping', running=self.forwarder.pending_count)
        self._reactor.call_later(
            const.STOP_LISTEN_S, lambda: self._end_when_idle()
        )
        self._reactor.call_later(
            self._settings.stop_s - const.STOP_RESERVE_S, self._end
        )

    def _end_when_idle(self) -> None:
        self._callers.close_idle(const.STOP_IDLE_S)
        if not self._callers.has_connections:
            self._end()
            return
        self._reactor.call_later(const.STOP_IDLE_S / 2, self._end_when_idle)

    def _end(self) -> None:
        self.forwarder.stop_all()
        self._reactor.call_soon(self._reactor.stop)


def _count_refused(reason: str) -> None:
    metrics.REFUSALS.labels(reason=reason, outcome='unread').inc()
    LOG.info('request unreadable', reason=reason)
