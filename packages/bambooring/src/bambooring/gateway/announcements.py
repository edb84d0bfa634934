"""Follow which targets there are, as control replicas announce them."""

import structlog

from bambooring.balancing import state as balancing
from bambooring.forwarding import dispatcher as dispatcher_module
from bambooring.targets import messages as targets
from bambooring.targets import state as targets_state
from bambooring_core import const as core_const
from bambooring_core import links
from bambooring_core import reactor as reactor_module

LOG = structlog.get_logger(__name__)


class AnnouncementReceiver:
    """Tell the balancer which targets take new work.

    :param heartbeat_s: the interval between two announcements of a target
    :param reactor: tells the time
    :param hub: the links of this instance
    :param balancer: is told of the targets
    :param dispatcher: sends queued requests when the targets change
    """

    __slots__ = ('_balancer', '_dispatcher', '_hub', '_reactor', '_registry')

    def __init__(
        self,
        *,
        heartbeat_s: float,
        reactor: reactor_module.Reactor,
        hub: links.Hub,
        balancer: balancing.Balancer,
        dispatcher: dispatcher_module.Dispatcher,
    ) -> None:
        self._registry = targets_state.Registry(heartbeat_s)
        self._reactor = reactor
        self._hub = hub
        self._balancer = balancer
        self._dispatcher = dispatcher

    def apply(self, link: links.Link, message: targets.Announced) -> None:
        """Apply announcements, and confirm them where that is asked for.

        :param link: the link to the control replica that they came from
        :param message: the announcements
        """
        now_s = self._reactor.now()
        changed = []
        for target in message.targets:
            result = self._registry.apply_announcement(target, now_s)
            if result is targets_state.AnnouncementResult.CHANGED:
                changed.append(target)
        for target_id in message.refreshed:
            self._registry.refresh(target_id, now_s)
        for target in changed:
            self._balancer.cold.record_announcement(target, now_s)
            LOG.info(
                'target known',
                target=target.id,
                service=target.service,
                address=target.address,
                state=target.state,
                born=target.born_ms,
                sequence=target.sequence,
                is_void=target.is_void,
                cold_ms=target.cold_ms,
                source=link.name,
            )
        if changed:
            self._update_targets()
        if message.confirmation:
            link.send(
                targets.AnnouncedReply(confirmation=message.confirmation)
            )

    def _update_targets(self) -> None:
        self._balancer.set_targets(self._registry.list_usable())
        self._dispatcher.dispatch_queued()

    def expire(self) -> None:
        """Drop the targets whose heartbeats are missing."""
        now_s = self._reactor.now()
        # Without a control replica no heartbeat can arrive, so that their
        # absence says nothing of the targets.
        if not self._hub.get_links(core_const.ROLE_CONTROL):
            self._registry.renew_all(now_s)
            return
        expired = list(self._registry.expire(now_s))
        for target in expired:
            LOG.info('target silent', target=target.id, service=target.service)
        if expired:
            self._update_targets()
