"""Run the agent of one rank: report its state, and forward orders to it.

The agent makes no decision in a switch. All that it knows was just read from
the engine, so it can be killed and restarted at any time.
"""

import collections.abc
import typing

import structlog

from bambooring_agent.permits import task as permits_task
from bambooring_agent.ranks import calls
from bambooring_agent.ranks import const
from bambooring_agent.ranks import messages as agent_messages
from bambooring_agent.ranks import state as state_module
from bambooring_core import const as core_const
from bambooring_core import decoding
from bambooring_core import errors
from bambooring_core.http1 import kept
from bambooring_core import identity as identity_module
from bambooring_core import links
from bambooring_core.ranks import messages
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)

T = typing.TypeVar('T')


class RankAgent:
    """The agent process of one rank.

    Polls the engine, reports its state and demand to the leading control
    replica, and forwards that replica's orders to the engine. Orders to ranks
    whose own agents are silent are relayed to their engines. Hands out the
    permits to send requests to the target while it is cold.
    """

    def __init__(
        self,
        settings: agent_messages.Settings,
        *,
        reactor: reactor_module.Reactor,
        dialect: messages.RankDialect,
        incarnation: int,
        make_hub: links.HubFactory = links.LinkHub,
    ) -> None:
        self._settings = settings
        self._reactor = reactor
        self._dialect = dialect
        identity = identity_module.Identity(
            cluster=settings.cluster,
            instance=settings.instance,
            role=core_const.ROLE_AGENT,
            failure_domain=settings.failure_domain,
            address=settings.link_address,
            incarnation=incarnation,
        )
        self._hub = make_hub(
            reactor=reactor, identity=identity, key=settings.key, handler=self
        )
        self._permit_issuer = permits_task.PermitIssuer(
            reactor=reactor, address=settings.link_address, key=settings.key
        )
        self._poll_connection = self._make_connection()
        self._attendances: dict[links.Link, messages.Attendance] = {}
        self._state: messages.RankState | None = None
        self._held_experts: messages.HeldExperts | None = None
        self._state_reporter = state_module.StateReporter()
        self._demand_meter = state_module.DemandMeter()
        self._is_reading_experts = False
        self._awaited_version = 0
        self._fast_polling_until_s = 0.0
        self._unreadable_kinds: set[str] = set()

    def run(self) -> None:
        """Run until stopped."""
        with self._hub, self._permit_issuer:
            self.set_up()
            LOG.info('agent runs', engine=self._settings.engine_address)
            self._reactor.run()
        LOG.info('agent stopped')

    def set_up(self) -> None:
        """Open the permit port, connect to controls and poll the engine."""
        self._permit_issuer.set_up()
        self.connect_seeds(self._settings.seeds)
        self._poll_state()
        self._reactor.call_every(
            const.COUNTS_POLL_INTERVAL_S, self._poll_counts
        )

    def connect_seeds(self, seeds: list[str]) -> None:
        """Keep links to the seeds, also after a change of the settings."""
        for address in seeds:
            self._hub.keep_connected(address)

    def leave(self) -> None:
        """Stop; callable from any thread."""
        self._reactor.stop()

    def handle_link_up(self, link: links.Link) -> None:
        """Log a new link to a control replica."""
        LOG.info('control replica linked', peer=link.name)

    def handle_link_down(self, link: links.Link) -> None:
        """Forget what a lost control replica has sent."""
        self._attendances.pop(link, None)
        LOG.info('control replica lost', peer=link.name)

    def handle_message(self, link: links.Link, message: typing.Any) -> None:
        """Handle one message of a control replica."""
        match message:
            case messages.Attendance():
                self._attendances[link] = message
                self._update_control_links()
                if message.is_leader:
                    self._send_latest_to(link)
            case messages.RankOrder():
                self._forward_order(link, message)
            case messages.RelayOrder():
                self._relay_order(link, message)
            case _:
                LOG.warning(
                    'unexpected message ignored', kind=type(message).__name__
                )

    def _update_control_links(self) -> None:
        wanted = set(self._settings.seeds)
        for attendance in self._attendances.values():
            wanted.update(attendance.controls)
        linked = {
            link.dialled_address
            for link in self._hub.get_links(core_const.ROLE_CONTROL)
        }
        for address in wanted:
            self._hub.keep_connected(address)
        for address in self._hub.get_dialled_addresses() - wanted - linked:
            self._hub.disconnect(address)

    def _send_latest_to(self, link: links.Link) -> None:
        """Send the latest state and demand to a new leader.

        The demand is sent again because a broken group adds no new demand.
        """
        if self._state is None:
            return
        link.send(self._state)
        if self._demand_meter.latest_demand is not None:
            link.send(self._demand_meter.latest_demand)

    def _send_to_leader(self, message: typing.Any) -> None:
        for link, attendance in self._attendances.items():
            if attendance.is_leader:
                link.send(message)

    def _make_connection(self) -> kept.KeptConnection:
        return kept.KeptConnection(
            reactor=self._reactor,
            address=self._settings.engine_address,
            timeout_s=const.CALL_TIMEOUT_S,
        )

    def _send_order(
        self, order: messages.RankOrder, callback: calls.ResponseCallback
    ) -> None:
        """Send an order to the own engine, exactly once.

        It goes over a new connection, over which the engine is polled from
        then on: nothing that the engine told before the order, not even a late
        copy of it, can be taken for its state after the order. A poll under
        way fails.

        :param order: the order
        :param callback: is called with the response
        """
        connection = self._make_connection()

        def handle_response(status: int, body: bytes) -> None:
            previous_connection = self._poll_connection
            self._poll_connection = connection
            previous_connection.abort()
            callback(status, body)

        call = self._dialect.make_order_call(order)
        connection.call(
            call.method, call.path, call.headers, handle_response, call.body
        )

    def _poll(
        self, call: messages.RankCall, callback: calls.ResponseCallback
    ) -> None:
        """Read from the engine, over the kept connection if it is idle."""
        if self._poll_connection.is_idle:
            self._poll_connection.call(
                call.method, call.path, call.headers, callback
            )
            return
        calls.EngineCall(
            self._reactor, self._settings.engine_address, call, callback
        )

    def _poll_state(self) -> None:
        self._reactor.call_later(
            state_module.get_state_interval_s(self._state), self._poll_state
        )
        self._poll(self._dialect.make_state_call(), self._handle_state)

    def _is_switching(self) -> bool:
        """Whether the coordinator waits for a change of the rank's state.

        It does while the rank prepares the ordered map or is armed, but no
        longer than SWITCH_POLL_LIMIT_S after an order.
        """
        state = self._state
        if state is None or self._reactor.now() > self._fast_polling_until_s:
            return False
        is_loading = (
            bool(self._awaited_version)
            and state.prepared != self._awaited_version
        )
        return is_loading or bool(state.armed)

    def _poll_while_switching(self) -> None:
        """Poll the state more often while the coordinator waits."""
        if self._is_switching():
            self._reactor.call_later(
                const.SWITCH_POLL_INTERVAL_S, self._poll_while_switching
            )
            self._poll(self._dialect.make_state_call(), self._handle_state)

    def _handle_state(self, status: int, body: bytes) -> None:
        state = self._read_state(status, body)
        if state is None:
            return
        self._state = state
        if self._state_reporter.is_due(state, self._reactor.now()):
            self._send_to_leader(state)
        if (
            state.version != state.layout_version
            and not self._is_reading_experts
        ):
            self._is_reading_experts = True
            self._poll(self._dialect.make_experts_call(), self._handle_experts)

    def _read_report(
        self, kind: str, read: collections.abc.Callable[[], T]
    ) -> T | None:
        """Return what a function decodes, or None if the report is unreadable.

        An engine is polled many times a second: a row of unreadable reports of
        a kind is logged once.
        """
        try:
            report = decoding.contain(kind, read)
        except (errors.ReportError, errors.DecoderFaultError) as error:
            if kind not in self._unreadable_kinds:
                self._unreadable_kinds.add(kind)
                LOG.warning(
                    'engine report unreadable', kind=kind, error=str(error)
                )
            return None
        self._unreadable_kinds.discard(kind)
        return report

    def _handle_experts(self, status: int, body: bytes) -> None:
        self._is_reading_experts = False
        if status != 200:
            return
        experts = self._read_report(
            'experts', lambda: self._dialect.read_experts(body)
        )
        if experts is None:
            return
        self._held_experts = experts
        self._poll(self._dialect.make_state_call(), self._handle_state)

    def _read_state(
        self, status: int, body: bytes
    ) -> messages.RankState | None:
        if status != 200:
            return None
        state = self._read_report(
            'state',
            lambda: self._dialect.read_state(
                self._settings.instance, self._settings.service, body
            ),
        )
        experts = self._held_experts
        if state is not None and experts is not None:
            if experts.epoch == state.epoch:
                state.layout_version = experts.version
                state.layout = [
                    messages.RankExperts(experts=expert_ids)
                    for expert_ids in experts.sets
                ]
        return state

    def _poll_counts(self) -> None:
        if self._state is not None:
            self._poll(self._dialect.make_counts_call(), self._handle_counts)

    def _handle_counts(self, status: int, body: bytes) -> None:
        if status != 200 or self._state is None:
            return
        counts = self._read_report(
            'counts', lambda: self._dialect.read_counts(body)
        )
        if counts is None:
            return
        demand = self._demand_meter.record_totals(counts, self._state)
        if demand is not None:
            self._send_to_leader(demand)

    def _forward_order(
        self, link: links.Link, order: messages.RankOrder
    ) -> None:
        """Forward an order, then report its outcome with a fresh state."""
        self._fast_polling_until_s = (
            self._reactor.now() + const.SWITCH_POLL_LIMIT_S
        )
        self._awaited_version = 0
        if order.kind is messages.OrderKind.PREPARE:
            self._awaited_version = order.version
        self._reactor.call_later(
            const.SWITCH_POLL_INTERVAL_S, self._poll_while_switching
        )

        def handle_result(status: int, body: bytes) -> None:
            outcome = _classify_status(status)
            LOG.info(
                'order forwarded to engine',
                order=order.order,
                kind=order.kind,
                version=order.version,
                step=order.step,
                epoch=order.epoch,
                status=status,
                outcome=outcome,
            )
            # On its own connection: a late copy of the order's response isn't
            # taken for the state, and the next order doesn't cut it short.
            calls.EngineCall(
                self._reactor,
                self._settings.engine_address,
                self._dialect.make_state_call(),
                lambda status, body: self._report_outcome(
                    link, order, outcome, self._read_state(status, body)
                ),
            )

        self._send_order(order, handle_result)

    def _relay_order(
        self, link: links.Link, relay: messages.RelayOrder
    ) -> None:
        """Send an order to another rank's engine and report its outcome."""
        order = relay.order

        def handle_result(status: int, body: bytes) -> None:
            outcome = _classify_status(status)
            LOG.info(
                'order relayed to engine',
                order=order.order,
                kind=order.kind,
                rank=relay.rank,
                address=relay.address,
                version=order.version,
                step=order.step,
                epoch=order.epoch,
                status=status,
                outcome=outcome,
            )
            link.send(
                messages.RelayedOrderDone(
                    group=relay.group,
                    rank=relay.rank,
                    order=order.order,
                    outcome=outcome,
                )
            )

        calls.EngineCall(
            self._reactor,
            relay.address,
            self._dialect.make_order_call(order, relay.target),
            handle_result,
        )

    def _report_outcome(
        self,
        link: links.Link,
        order: messages.RankOrder,
        outcome: messages.Outcome,
        state: messages.RankState | None,
    ) -> None:
        if state is None:
            LOG.info(
                'no state from engine after an order; outcome not reported',
                order=order.order,
            )
            return
        self._state = state
        link.send(
            messages.RankOrderDone(
                order=order.order, outcome=outcome, state=state
            )
        )


def _classify_status(status: int) -> messages.Outcome:
    """Return the outcome of an order that a response status proves.

    Only a success (2xx) and a refusal (4xx) prove an outcome. After any other
    status, or none, the order may have been carried out or may still be.
    """
    if 200 <= status < 300:
        return messages.Outcome.DONE
    if 400 <= status < 500:
        return messages.Outcome.REFUSED
    return messages.Outcome.UNKNOWN
