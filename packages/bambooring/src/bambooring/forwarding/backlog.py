"""Know when the callers that an outage turned away come back."""

from bambooring.balancing import state as balancing
from bambooring.forwarding import const


class Backlog:
    """Until when the backlog of outages is due, by service.

    There are two kinds of outage: that of a service's model group, and that of
    this instance, which admits nothing while it can't prove its policy.
    """

    __slots__ = ('_balancer', '_own_until_s', '_until_s_by_service')

    def __init__(self, balancer: balancing.Balancer) -> None:
        self._balancer = balancer
        self._until_s_by_service: dict[str, float] = {}
        self._own_until_s = 0.0

    def is_due(self, service: str, now_s: float) -> bool:
        """Return whether those refused in an outage still come back.

        They were told to do so within a third of their time.
        """
        if self._balancer.is_recovering(service):
            self._until_s_by_service[service] = now_s + const.BACKLOG_S
            return True
        until_s = self._until_s_by_service.get(service, 0.0)
        return now_s < max(until_s, self._own_until_s)

    def record_own_outage_end(self, now_s: float) -> None:
        """Record that this instance admits requests again."""
        self._own_until_s = now_s + const.BACKLOG_S
