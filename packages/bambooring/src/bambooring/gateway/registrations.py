"""Take targets' announcements and spread them."""

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
    """Hold a target's call until the entry instances know of it."""

    exchange: http1_server.Exchange
    waits_for: set[links.Link]
    timer: reactor_module.Timer | None = None


class Registrations:
    """Hold the targets that this replica has heard of."""

    def __init__(
        self,
        *,
        reactor: reactor_module.Reactor,
        heartbeat_s: float,
        get_entries: GetLinks,
        get_controls: GetLinks,
    ) -> None:
        self._reactor = reactor
        self._registry = targets_state.Registry(heartbeat_s)
        self._get_entries = get_entries
        self._get_controls = get_controls
        self._refreshed: dict[str, None] = {}
        self._confirmations: dict[int, _Confirmation] = {}
        self._next = 1

    def set_up(self) -> None:
        """Begin what is done at intervals."""
        self._reactor.call_every(
            const.REFRESH_INTERVAL_S, self._spread_refreshed
        )
        self._reactor.call_every(const.EXPIRY_INTERVAL_S, self._expire)

    def announce(
        self, exchange: http1_server.Exchange, target: messages.Target
    ) -> None:
        """Take an announcement and confirm it.

        :param exchange: the target's call
        :param target: what it says of itself
        """
        effect = self._registry.apply_announcement(target, self._reactor.now())
        metrics.ANNOUNCEMENTS.labels(effect=effect.value).inc()
        if effect is targets_state.AnnouncementResult.REFRESHED:
            self._refreshed[target.id] = None
        if effect is not targets_state.AnnouncementResult.CHANGED:
            _confirm(exchange)
            return
        _log_change(target, 'itself')
        if target.state is messages.State.READY:
            self._spread([target])
            _confirm(exchange)
        else:
            self._spread_and_confirm(exchange, target)

    def withdraw(
        self,
        exchange: http1_server.Exchange,
        call: dialect_module.WithdrawTargetCall,
    ) -> None:
        """Take a target away and confirm it."""
        changed = self._registry.mark_gone(
            call.target_id, call.born_ms, self._reactor.now()
        )
        if changed is None:
            _confirm(exchange)
            return
        _log_change(changed, 'itself')
        self._spread_and_confirm(exchange, changed)

    def _spread(
        self, changed: list[messages.Target], confirmation: int = 0
    ) -> list[links.Link]:
        message = messages.Announced(
            targets=changed, refreshed=[], confirmation=confirmation
        )
        entries = self._get_entries()
        for link in [*entries, *self._get_controls()]:
            link.send(message)
        return entries

    def _spread_and_confirm(
        self, exchange: http1_server.Exchange, target: messages.Target
    ) -> None:
        """Confirm once the entry instances know that a target leaves."""
        number = self._next
        self._next += 1
        waiting = _Confirmation(
            exchange=exchange,
            waits_for=set(self._spread([target], number)),
        )
        if not waiting.waits_for:
            _confirm(exchange)
            return
        waiting.timer = self._reactor.call_later(
            const.CONFIRM_TIMEOUT_S, lambda: self._end_wait(number)
        )
        self._confirmations[number] = waiting

    def confirm(
        self, link: links.Link, reply: messages.AnnouncedReply
    ) -> None:
        """Take note that an entry instance knows of a leaving target."""
        waiting = self._confirmations.get(reply.confirmation)
        if waiting is None:
            return
        waiting.waits_for.discard(link)
        if not waiting.waits_for:
            self._end_wait(reply.confirmation)

    def forget_link(self, link: links.Link) -> None:
        """Wait no longer for an instance that can't be reached."""
        for number, waiting in list(self._confirmations.items()):
            waiting.waits_for.discard(link)
            if not waiting.waits_for:
                self._end_wait(number)

    def _end_wait(self, number: int) -> None:
        waiting = self._confirmations.pop(number, None)
        if waiting is None:
            return
        if waiting.timer is not None:
            waiting.timer.cancel()
        if waiting.waits_for:
            LOG.info(
                'leaving target confirmed without all',
                missing=[link.name for link in waiting.waits_for],
            )
        _confirm(waiting.exchange)

    def take(self, link: links.Link, message: messages.Announced) -> None:
        """Take what another replica has heard, and pass on what is new."""
        now = self._reactor.now()
        changed = []
        for target in message.targets:
            effect = self._registry.apply_announcement(target, now)
            if effect is targets_state.AnnouncementResult.CHANGED:
                _log_change(target, link.name)
                changed.append(target)
        for id in message.refreshed:
            self._registry.refresh(id, now)
        if changed:
            spread = messages.Announced(
                targets=changed, refreshed=[], confirmation=0
            )
            for entry in self._get_entries():
                entry.send(spread)

    def tell_all(self, link: links.Link) -> None:
        """Tell a newly linked instance every target."""
        link.send(
            messages.Announced(
                targets=self._registry.list_all(),
                refreshed=[],
                confirmation=0,
            )
        )

    def _spread_refreshed(self) -> None:
        if not self._refreshed:
            return
        message = messages.Announced(
            targets=[], refreshed=list(self._refreshed), confirmation=0
        )
        self._refreshed.clear()
        for link in [*self._get_entries(), *self._get_controls()]:
            link.send(message)

    def _expire(self) -> None:
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
        source=source,
    )


def _confirm(exchange: http1_server.Exchange) -> None:
    if exchange.is_done:
        return
    headers: http1.Headers = [(b'Content-Type', b'application/json')]
    exchange.respond(200, headers, b'{}')
