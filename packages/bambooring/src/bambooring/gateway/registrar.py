"""Accept the announcements of targets and send them to the instances."""

import collections.abc
import dataclasses

import structlog

from bambooring.forwarding import dialect as dialect_module
from bambooring.gateway import const
from bambooring import metrics
from bambooring.targets import messages
from bambooring.targets import state as targets_state
from bambooring_core.http1 import messages as http1
from bambooring_core.http1 import server as http1_server
from bambooring_core import links
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)

GetLinks = collections.abc.Callable[[], list[links.Link]]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Confirmation:
    """A call of a leaving target that waits for the entry instances.

    ``unconfirmed_links`` are the links to the entry instances that have not
    confirmed yet. The call is answered once there are none left, or when
    ``timer`` expires.
    """

    exchange: http1_server.Exchange
    unconfirmed_links: set[links.Link]
    timer: reactor_module.Timer | None = None


class TargetRegistrar:
    """Register targets and inform the other instances of changes.

    It knows the targets that announced themselves to this control replica or
    to another one.
    """

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        heartbeat_s: float,
        get_entry_links: GetLinks,
        get_main_links: GetLinks,
        get_control_links: GetLinks,
    ) -> None:
        self._reactor = reactor
        self._registry = targets_state.Registry(heartbeat_s)
        self._get_entry_links = get_entry_links
        self._get_main_links = get_main_links
        self._get_control_links = get_control_links
        self._refreshed_ids: dict[str, None] = {}
        self._confirmations: dict[int, _Confirmation] = {}
        self._next_confirmation_id = 1

    def set_up(self) -> None:
        """Start the interval timers."""
        self._reactor.call_every(
            const.UPDATE_INTERVAL_S, self._broadcast_refreshed
        )
        self._reactor.call_every(const.EXPIRY_INTERVAL_S, self._expire_targets)

    def handle_announcement(
        self, exchange: http1_server.Exchange, target: messages.Target
    ) -> None:
        """Register an announced target and respond to it.

        :param exchange: the target's call
        :param target: the announcement
        """
        now_s = self._reactor.now()
        void_runs = self._registry.settle_dispute(target, now_s)
        result = self._registry.apply_announcement(target, now_s)
        metrics.ANNOUNCEMENTS.labels(effect=result.value).inc()
        if void_runs:
            self._broadcast_void_runs(void_runs, target)
        if result is targets_state.AnnouncementResult.REFRESHED:
            self._refreshed_ids[target.id] = None
        if result is not targets_state.AnnouncementResult.CHANGED:
            _respond_ok(exchange)
            return
        _log_change(target, 'itself')
        if target.state is messages.State.READY:
            self._broadcast([target])
            _respond_ok(exchange)
        else:
            self._broadcast_and_confirm(exchange, target)

    def _broadcast_void_runs(
        self, void_runs: list[messages.Target], target: messages.Target
    ) -> None:
        """Tell the other instances which runs a target outlived."""
        for void_run in void_runs:
            metrics.ANNOUNCEMENTS.labels(effect='void').inc()
            LOG.warning(
                'run void',
                target=void_run.id,
                address=void_run.address,
                born=void_run.born_ms,
                outlived_by=target.id,
                outlived_by_born=target.born_ms,
            )
        self._broadcast([*void_runs, target])

    def handle_withdrawal(
        self,
        exchange: http1_server.Exchange,
        call: dialect_module.WithdrawTargetCall,
    ) -> None:
        """Mark a target as gone and respond to it."""
        changed = self._registry.mark_gone(
            call.target_id, call.born_ms, self._reactor.now()
        )
        if changed is None:
            _respond_ok(exchange)
            return
        _log_change(changed, 'itself')
        self._broadcast_and_confirm(exchange, changed)

    def _broadcast(
        self, changed: list[messages.Target], confirmation_id: int = 0
    ) -> list[links.Link]:
        message = messages.Announced(
            targets=changed, refreshed=[], confirmation=confirmation_id
        )
        entry_links = self._get_entry_links()
        for link in [*entry_links, *self._get_control_links()]:
            link.send(message)
        return entry_links

    def _broadcast_and_confirm(
        self, exchange: http1_server.Exchange, target: messages.Target
    ) -> None:
        """Respond once the entry instances know that a target leaves.

        After the timeout the target gets its response in any case.
        """
        confirmation_id = self._next_confirmation_id
        self._next_confirmation_id += 1
        confirmation = _Confirmation(
            exchange=exchange,
            unconfirmed_links=set(self._broadcast([target], confirmation_id)),
        )
        if not confirmation.unconfirmed_links:
            _respond_ok(exchange)
            return
        confirmation.timer = self._reactor.call_later(
            const.CONFIRMATION_TIMEOUT_S,
            lambda: self._end_confirmation(confirmation_id),
        )
        self._confirmations[confirmation_id] = confirmation

    def handle_confirmation(
        self, link: links.Link, reply: messages.AnnouncedReply
    ) -> None:
        """Record that an entry instance knows of a leaving target."""
        confirmation = self._confirmations.get(reply.confirmation)
        if confirmation is None:
            return
        confirmation.unconfirmed_links.discard(link)
        if not confirmation.unconfirmed_links:
            self._end_confirmation(reply.confirmation)

    def handle_link_down(self, link: links.Link) -> None:
        """Stop waiting for an entry instance whose link is down."""
        for confirmation_id, confirmation in list(self._confirmations.items()):
            confirmation.unconfirmed_links.discard(link)
            if not confirmation.unconfirmed_links:
                self._end_confirmation(confirmation_id)

    def _end_confirmation(self, confirmation_id: int) -> None:
        confirmation = self._confirmations.pop(confirmation_id, None)
        if confirmation is None:
            return
        if confirmation.timer is not None:
            confirmation.timer.cancel()
        if confirmation.unconfirmed_links:
            LOG.info(
                'leaving target not confirmed by all entry instances',
                missing=[link.name for link in confirmation.unconfirmed_links],
            )
        _respond_ok(confirmation.exchange)

    def merge_announced(
        self, link: links.Link, message: messages.Announced
    ) -> None:
        """Merge another replica's news, and pass changes on.

        They go to the entry instances of which this is a main replica.
        """
        now_s = self._reactor.now()
        changed = []
        for target in message.targets:
            result = self._registry.apply_announcement(target, now_s)
            if result is targets_state.AnnouncementResult.CHANGED:
                _log_change(target, link.name)
                changed.append(target)
        for target_id in message.refreshed:
            self._registry.refresh(target_id, now_s)
        if changed:
            announced = messages.Announced(
                targets=changed, refreshed=[], confirmation=0
            )
            for entry_link in self._get_main_links():
                entry_link.send(announced)

    def find_rank(self, group: str, rank: int) -> messages.Target | None:
        """Return the known target of a group's rank, if there is one."""
        return self._registry.find_rank(group, rank)

    def send_all_targets(self, link: links.Link) -> None:
        """Send every known target to a newly linked instance."""
        link.send(
            messages.Announced(
                targets=self._registry.list_all(self._reactor.now()),
                refreshed=[],
                confirmation=0,
            )
        )

    def _broadcast_refreshed(self) -> None:
        if not self._refreshed_ids:
            return
        message = messages.Announced(
            targets=[], refreshed=list(self._refreshed_ids), confirmation=0
        )
        self._refreshed_ids.clear()
        for link in [*self._get_entry_links(), *self._get_control_links()]:
            link.send(message)

    def _expire_targets(self) -> None:
        for target in self._registry.expire(self._reactor.now()):
            LOG.info('target silent', target=target.id, service=target.service)


def _log_change(target: messages.Target, source: str) -> None:
    LOG.info(
        'target changed',
        target=target.id,
        service=target.service,
        address=target.address,
        state=target.state,
        born=target.born_ms,
        sequence=target.sequence,
        group_epoch=target.group_epoch,
        cold_ms=target.cold_ms,
        is_void=target.is_void,
        source=source,
    )


def _respond_ok(exchange: http1_server.Exchange) -> None:
    if exchange.is_done:
        return
    headers: http1.Headers = [(b'Content-Type', b'application/json')]
    exchange.respond(200, headers, b'{}')
