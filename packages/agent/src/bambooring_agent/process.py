"""Put the agent's parts together and run them in one thread."""

import collections.abc
import random
import typing

import structlog

from bambooring_agent.announcements import const as announcements_const
from bambooring_agent.announcements import state as announcements
from bambooring_agent import const
from bambooring_agent.engine import messages as engine_messages
from bambooring_agent.engine import task as engine_task
from bambooring_agent.gate import messages as gate_messages
from bambooring_agent.gate import state as gate_state
from bambooring_agent import metrics
from bambooring_core import const as core_const
from bambooring_core.dispatch import messages as dispatch
from bambooring_core import identity as identity_module
from bambooring_core import links
from bambooring_core import operations
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)


MakeEngine = collections.abc.Callable[..., engine_messages.Engine]


class Agent:
    """Run one target's slot."""

    def __init__(
        self,
        settings: dict[str, typing.Any],
        *,
        reactor: reactor_module.Reactor,
        key: bytes,
        incarnation: int,
        make_engine: MakeEngine = engine_task.Engine,
        make_hub: links.MakeHub = links.LinkHub,
    ) -> None:
        engine = settings[const.CONF_ENGINE]
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
        self._gate = gate_state.Gate(
            limits=gate_state.GateLimits(
                slots=engine[const.CONF_SLOTS],
                long_slots=engine[const.CONF_LONG_SLOTS],
                queue_limit=engine[const.CONF_QUEUE_LIMIT],
                leave_grace_s=settings[const.CONF_LEAVE_GRACE_S],
            ),
            incarnation=self._identity.incarnation,
        )
        self._gate.is_ready = engine[const.CONF_HEALTH_PATH] is None
        self._announcer = announcements.Announcer(
            target=self._identity.instance,
            service=settings[const.CONF_SERVICE],
            failure_domain=self._identity.failure_domain,
            address=self._identity.address,
            incarnation=self._identity.incarnation,
            slots=engine[const.CONF_SLOTS],
        )
        self._hub = make_hub(
            reactor=reactor,
            identity=self._identity,
            key=key,
            handler=self,
        )
        self._engine = make_engine(
            reactor=reactor,
            url=engine[const.CONF_URL],
            health_path=engine[const.CONF_HEALTH_PATH],
            sink=self,
        )
        self._owners: dict[int, links.Link] = {}
        self._random = random.Random(self._identity.incarnation)
        self._flush_due = False
        self._flushed_at = 0.0

    def run(self) -> None:
        """Run until a leaving agent has finished its work."""
        address = self._settings[const.CONF_LISTEN][const.CONF_OPERATORS]
        server = operations.make_server(
            address, const.OPERATOR_THREADS, lambda: self._gate.is_ready
        )
        with self._hub, self._engine, server:
            self.set_up()
            LOG.info('agent runs', address=self._identity.address)
            self._reactor.run()
        LOG.info('agent ends')

    def set_up(self) -> None:
        """Begin what is done at intervals."""
        self._reactor.call_every(const.TICK_INTERVAL_S, self._tick)
        self._reactor.call_every(const.LOAD_INTERVAL_S, self._report_load)
        self._reactor.call_every(
            announcements_const.ANNOUNCE_INTERVAL_S, self._announce
        )
        self._choose_receivers()

    def leave(self) -> None:
        """Begin to leave; callable from any thread."""
        self._reactor.post(self._leave)

    def _leave(self) -> None:
        if self._gate.leaving_since is not None:
            return
        LOG.info('target leaves')
        self._gate.leave(self._reactor.now())
        self._announce()
        self._report_load()

    def _tick(self) -> None:
        now = self._reactor.now()
        self._carry_out(self._gate.tick(now))
        metrics.RUNNING.set(self._gate.running)
        metrics.QUEUED.set(self._gate.queued)
        since = self._gate.leaving_since
        if since is None or not self._gate.is_idle:
            return
        if now > since + self._gate.limits.leave_grace_s:
            self._reactor.stop()

    def _choose_receivers(self) -> None:
        known = self._settings[const.CONF_ANNOUNCE_TO]
        up = {
            link.dialled
            for link in self._hub.get_links(core_const.ROLE_ENTRY)
            if link.dialled is not None
        }
        chosen = announcements.choose_receivers(known, up, self._random)
        for address in self._hub.get_dialled() - set(chosen):
            self._hub.drop(address)
        for address in chosen:
            self._hub.keep(address)

    def _announce(self) -> None:
        self._choose_receivers()
        announcement = self._make_announcement()
        for link in self._hub.get_links(core_const.ROLE_ENTRY):
            if link.dialled is not None:
                link.send(announcement)

    def _make_announcement(self) -> typing.Any:
        return self._announcer.make(
            is_leaving=self._gate.leaving_since is not None,
            is_ready=self._gate.is_ready,
        )

    def _report_load(self) -> None:
        load = self._make_load()
        for link in self._owners.values():
            link.send(load)

    def _make_load(self) -> dispatch.Load:
        return dispatch.Load(
            running=self._gate.running,
            queued=self._gate.queued,
            slots=self._gate.limits.slots,
            wait_s=self._gate.estimate_wait(dispatch.Lane.SHORT),
            is_leaving=self._gate.leaving_since is not None,
            is_ready=self._gate.is_ready,
        )

    def link_up(self, link: links.Link) -> None:
        """Greet an entry instance."""
        assert link.peer is not None
        if link.dialled is not None:
            link.send(self._make_announcement())
            return
        self._owners[link.peer.incarnation] = link
        link.send(self._make_load())

    def link_down(self, link: links.Link) -> None:
        """Detach the attempts of an entry instance that is gone."""
        assert link.peer is not None
        owner = link.peer.incarnation
        if self._owners.get(owner) is link:
            del self._owners[owner]
            self._gate.detach(owner, self._reactor.now())

    def receive(self, link: links.Link, message: typing.Any) -> None:
        """Handle one message of an entry instance."""
        assert link.peer is not None
        owner = link.peer.incarnation
        now = self._reactor.now()
        match message:
            case dispatch.Start():
                metrics.STARTS.inc()
                LOG.debug(
                    'attempt arrived',
                    request=message.request_id,
                    attempt=message.attempt,
                )
                self._carry_out(self._gate.start(message, owner, now))
            case dispatch.Acknowledge():
                self._gate.acknowledge(message, now)
            case dispatch.Cancel():
                self._carry_out(self._gate.cancel(message.attempt, now))
            case dispatch.Resume():
                self._carry_out(self._gate.resume(message, owner, now))
                self._flush_soon()
            case dispatch.Leave():
                self._leave()
            case _:
                LOG.warning('message ignored', kind=type(message).__name__)

    def _carry_out(self, effects: gate_state.Effects) -> None:
        for effect in effects:
            match effect:
                case gate_messages.Call():
                    self._engine.call(effect.start)
                case gate_messages.Abort():
                    self._engine.abort(effect.attempt)
                case gate_messages.Send():
                    self._send(effect)

    def _send(self, effect: gate_messages.Send) -> None:
        if isinstance(effect.message, dispatch.Refused):
            metrics.REFUSALS.labels(reason=effect.message.reason).inc()
        link = self._owners.get(effect.owner)
        if link is not None:
            link.send(effect.message)

    def call_opened(
        self, attempt: int, status: int, headers: list[dispatch.Header]
    ) -> None:
        """Take a response's status and headers."""
        self._gate.open_response(attempt, status, headers)
        self._flush_soon()

    def call_output(self, attempt: int, data: bytes) -> bool:
        """Take a part of a response's body."""
        self._flush_soon()
        return self._gate.add_output(attempt, data)

    def call_ended(
        self, attempt: int, outcome: dispatch.Outcome, reason: str
    ) -> None:
        """Take the end of a call."""
        metrics.ENDS.labels(outcome=outcome, reason=reason).inc()
        if outcome is not dispatch.Outcome.COMPLETE:
            LOG.info(
                'attempt failed',
                attempt=attempt,
                outcome=outcome.value,
                reason=reason,
            )
        now = self._reactor.now()
        self._carry_out(self._gate.end(attempt, outcome, reason, now))
        self._flush_soon()

    def health_changed(self, is_ready: bool) -> None:
        """Take note that the target came or went."""
        if is_ready == self._gate.is_ready:
            return
        LOG.info('target health', is_ready=is_ready)
        self._gate.is_ready = is_ready
        self._announce()
        self._report_load()

    def _flush_soon(self) -> None:
        """Send outputs at the end of this turn, or soon after the last."""
        if self._flush_due:
            return
        self._flush_due = True
        wait_s = self._flushed_at + const.FLUSH_INTERVAL_S
        wait_s -= self._reactor.now()
        if wait_s > 0:
            self._reactor.call_later(wait_s, self._flush)
        else:
            self._reactor.call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_due = False
        self._flushed_at = self._reactor.now()
        for owner, output in self._gate.take_outputs():
            link = self._owners.get(owner)
            if link is not None:
                link.send(output)
