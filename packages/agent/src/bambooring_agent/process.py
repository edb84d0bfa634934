"""Connect the parts of an agent and run them in one thread."""

import collections.abc
import random
import typing

import structlog

from bambooring_agent.announcements import const as announcements_const
from bambooring_agent.announcements import state as announcements
from bambooring_agent import const
from bambooring_agent.engine import messages as engine_messages
from bambooring_agent.engine import task as engine_task
from bambooring_agent import metrics
from bambooring_agent.scheduling import messages as scheduling_messages
from bambooring_agent.scheduling import state as scheduling_state
from bambooring_core import const as core_const
from bambooring_core.dispatch import messages as dispatch
from bambooring_core import identity as identity_module
from bambooring_core import links
from bambooring_core import operations
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)


MakeEngineClient = collections.abc.Callable[..., engine_messages.EngineClient]


class Agent:
    """The agent process of one target.

    Receives attempts from entry instances, runs them on the engine through
    the scheduler, and sends the output back. Announces the target to entry
    instances and reports its load to those that are linked to it.
    """

    def __init__(
        self,
        settings: dict[str, typing.Any],
        *,
        reactor: reactor_module.Reactor,
        key: bytes,
        incarnation: int,
        make_engine_client: MakeEngineClient = engine_task.CurlEngineClient,
        make_hub: links.HubFactory = links.LinkHub,
    ) -> None:
        engine_settings = settings[const.CONF_ENGINE]
        self._settings = settings
        self._reactor = reactor
        self._identity = identity_module.Identity(
            cluster=settings[const.CONF_CLUSTER],
            instance=settings[const.CONF_TARGET],
            role=core_const.ROLE_AGENT,
            failure_domain=settings[const.CONF_FAILURE_DOMAIN],
            address=settings[const.CONF_LISTEN][const.CONF_PEERS],
            incarnation=incarnation,
        )
        self._scheduler = scheduling_state.AttemptScheduler(
            limits=scheduling_state.SchedulerLimits(
                slots=engine_settings[const.CONF_SLOTS],
                long_slots=engine_settings[const.CONF_LONG_SLOTS],
                queue_limit=engine_settings[const.CONF_QUEUE_LIMIT],
                leave_grace_s=settings[const.CONF_LEAVE_GRACE_S],
            ),
            incarnation=self._identity.incarnation,
        )
        self._scheduler.is_ready = (
            engine_settings[const.CONF_HEALTH_PATH] is None
        )
        self._announcer = announcements.Announcer(
            target=self._identity.instance,
            service=settings[const.CONF_SERVICE],
            failure_domain=self._identity.failure_domain,
            address=self._identity.address,
            incarnation=self._identity.incarnation,
            slots=engine_settings[const.CONF_SLOTS],
        )
        self._hub = make_hub(
            reactor=reactor,
            identity=self._identity,
            key=key,
            handler=self,
        )
        self._engine_client = make_engine_client(
            reactor=reactor,
            url=engine_settings[const.CONF_URL],
            health_path=engine_settings[const.CONF_HEALTH_PATH],
            listener=self,
        )
        self._links_by_owner: dict[int, links.Link] = {}
        self._rng = random.Random(self._identity.incarnation)
        self._is_flush_scheduled = False
        self._last_flush_s = 0.0

    def run(self) -> None:
        """Run until the target leaves and its work has ended."""
        address = self._settings[const.CONF_LISTEN][const.CONF_OPERATORS]
        server = operations.make_server(
            address, const.OPERATOR_THREADS, lambda: self._scheduler.is_ready
        )
        with self._hub, self._engine_client, server:
            self.set_up()
            LOG.info('agent runs', address=self._identity.address)
            self._reactor.run()
        LOG.info('agent stopped')

    def set_up(self) -> None:
        """Start the timers and the links to entry instances."""
        self._reactor.call_every(const.TICK_INTERVAL_S, self._tick)
        self._reactor.call_every(
            const.LOAD_REPORT_INTERVAL_S, self._report_load
        )
        self._reactor.call_every(
            announcements_const.ANNOUNCE_INTERVAL_S, self._announce
        )
        self._update_entry_links()

    def leave(self) -> None:
        """Start to leave; callable from any thread."""
        self._reactor.post(self._leave)

    def _leave(self) -> None:
        if self._scheduler.leaving_since is not None:
            return
        LOG.info('target is leaving')
        self._scheduler.start_leaving(self._reactor.now())
        self._announce()
        self._report_load()

    def _tick(self) -> None:
        now = self._reactor.now()
        self._apply_effects(self._scheduler.tick(now))
        metrics.RUNNING.set(self._scheduler.running_count)
        metrics.QUEUED.set(self._scheduler.queued_count)
        leaving_since = self._scheduler.leaving_since
        if leaving_since is None or not self._scheduler.is_idle:
            return
        if now > leaving_since + self._scheduler.limits.leave_grace_s:
            self._reactor.stop()

    def _update_entry_links(self) -> None:
        configured = self._settings[const.CONF_ENTRIES]
        linked = {
            link.dialled_address
            for link in self._hub.get_links(core_const.ROLE_ENTRY)
            if link.dialled_address is not None
        }
        chosen = announcements.choose_entry_addresses(
            configured, linked, self._rng
        )
        for address in self._hub.get_dialled_addresses() - set(chosen):
            self._hub.disconnect(address)
        for address in chosen:
            self._hub.keep_connected(address)

    def _announce(self) -> None:
        self._update_entry_links()
        announcement = self._make_announcement()
        for link in self._hub.get_links(core_const.ROLE_ENTRY):
            if link.dialled_address is not None:
                link.send(announcement)

    def _make_announcement(self) -> typing.Any:
        return self._announcer.make_announcement(
            is_leaving=self._scheduler.leaving_since is not None,
            is_ready=self._scheduler.is_ready,
        )

    def _report_load(self) -> None:
        report = self._make_load_report()
        for link in self._links_by_owner.values():
            link.send(report)

    def _make_load_report(self) -> dispatch.Load:
        return dispatch.Load(
            running=self._scheduler.running_count,
            queued=self._scheduler.queued_count,
            slots=self._scheduler.limits.slots,
            wait_s=self._scheduler.estimate_wait_s(dispatch.Lane.SHORT),
            is_leaving=self._scheduler.leaving_since is not None,
            is_ready=self._scheduler.is_ready,
        )

    def handle_link_up(self, link: links.Link) -> None:
        """Announce the target, or report its load, on a new link.

        An entry instance gets the announcement on a link that this agent
        opened, and the load report on one that the entry instance opened.
        """
        assert link.peer is not None
        if link.dialled_address is not None:
            link.send(self._make_announcement())
            return
        self._links_by_owner[link.peer.incarnation] = link
        link.send(self._make_load_report())

    def handle_link_down(self, link: links.Link) -> None:
        """Detach the attempts of an entry instance whose link has ended."""
        assert link.peer is not None
        owner = link.peer.incarnation
        if self._links_by_owner.get(owner) is link:
            del self._links_by_owner[owner]
            self._scheduler.detach_owner(owner, self._reactor.now())

    def handle_message(self, link: links.Link, message: typing.Any) -> None:
        """Handle one message from an entry instance."""
        assert link.peer is not None
        owner = link.peer.incarnation
        now = self._reactor.now()
        match message:
            case dispatch.Start():
                metrics.STARTS.inc()
                LOG.debug(
                    'attempt received',
                    request=message.request_id,
                    attempt=message.attempt,
                )
                self._apply_effects(
                    self._scheduler.submit(message, owner, now)
                )
            case dispatch.Acknowledge():
                self._scheduler.acknowledge(message, now)
            case dispatch.Cancel():
                self._apply_effects(
                    self._scheduler.cancel(message.attempt, now)
                )
            case dispatch.Resume():
                self._apply_effects(
                    self._scheduler.resume(message, owner, now)
                )
                self._schedule_flush()
            case dispatch.Leave():
                self._leave()
            case _:
                LOG.warning(
                    'unexpected message ignored', kind=type(message).__name__
                )

    def _apply_effects(self, effects: scheduling_state.Effects) -> None:
        for effect in effects:
            match effect:
                case scheduling_messages.StartCall():
                    self._engine_client.call(effect.start)
                case scheduling_messages.AbortCall():
                    self._engine_client.abort(effect.attempt_id)
                case scheduling_messages.SendMessage():
                    self._send(effect)

    def _send(self, effect: scheduling_messages.SendMessage) -> None:
        if isinstance(effect.message, dispatch.Refused):
            metrics.REFUSALS.labels(reason=effect.message.reason).inc()
        link = self._links_by_owner.get(effect.owner)
        if link is not None:
            link.send(effect.message)

    def handle_response_head(
        self, attempt_id: int, status: int, headers: list[dispatch.Header]
    ) -> None:
        """Pass on a response's status and headers."""
        self._scheduler.record_response_head(attempt_id, status, headers)
        self._schedule_flush()

    def handle_response_data(self, attempt_id: int, data: bytes) -> bool:
        """Pass on a part of a response's body; False aborts the call."""
        self._schedule_flush()
        return self._scheduler.record_output(attempt_id, data)

    def handle_call_end(
        self, attempt_id: int, outcome: dispatch.Outcome, reason: str
    ) -> None:
        """Pass on the end of a call, and start the next attempts."""
        metrics.CALLS_ENDED.labels(outcome=outcome, reason=reason).inc()
        if outcome is not dispatch.Outcome.COMPLETE:
            LOG.info(
                'attempt failed',
                attempt=attempt_id,
                outcome=outcome.value,
                reason=reason,
            )
        now = self._reactor.now()
        self._apply_effects(
            self._scheduler.record_call_end(attempt_id, outcome, reason, now)
        )
        self._schedule_flush()

    def handle_health_change(self, is_ready: bool) -> None:
        """Announce the target and report its load if its readiness changed."""
        if is_ready == self._scheduler.is_ready:
            return
        LOG.info('target readiness changed', is_ready=is_ready)
        self._scheduler.is_ready = is_ready
        self._announce()
        self._report_load()

    def _schedule_flush(self) -> None:
        """Send pending outputs once the events at hand are handled.

        They are sent at the end of this turn of the reactor, or
        FLUSH_INTERVAL_S after the last time if that is later.
        """
        if self._is_flush_scheduled:
            return
        self._is_flush_scheduled = True
        wait_s = self._last_flush_s + const.FLUSH_INTERVAL_S
        wait_s -= self._reactor.now()
        if wait_s > 0:
            self._reactor.call_later(wait_s, self._flush)
        else:
            self._reactor.call_soon(self._flush)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        self._last_flush_s = self._reactor.now()
        for owner, output in self._scheduler.take_pending_outputs():
            link = self._links_by_owner.get(owner)
            if link is not None:
                link.send(output)
