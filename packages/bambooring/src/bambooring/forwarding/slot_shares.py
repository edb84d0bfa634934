"""Share freed slots with the other instances whose requests wait for them.

All instances with waiting requests learn of a freed slot at nearly the same
time, before any of them knows what the others do about it. If each sent a
request there, the target would get one from each of them. In a lock-step group
that slows all ranks down, which lowers the limit and lets still more requests
wait. So while requests wait elsewhere too, an instance takes its share of the
free slots only, once in the time after which the others know of it.
"""

import dataclasses
import random

from bambooring.balancing import const as balancing_const
from bambooring.balancing import state as balancing
from bambooring.forwarding import const


@dataclasses.dataclass(slots=True, kw_only=True)
class _ServiceShare:
    """What this instance may take of a service's free slots.

    ``freed_count`` counts the slots that its own requests have freed since the
    last draw: the others don't know of them yet. ``next_round_s`` is when the
    others will know what it took.
    """

    freed_count: int = 0
    next_round_s: float = 0.0


class SlotShares:
    """Decide how many waiting requests may be sent at a moment."""

    __slots__ = ('_balancer', '_rng', '_shares')

    def __init__(
        self, balancer: balancing.Balancer, rng: random.Random
    ) -> None:
        self._balancer = balancer
        self._rng = rng
        self._shares: dict[str, _ServiceShare] = {}

    def record_freed(self, service: str) -> None:
        """Record that a request of this instance has freed a slot."""
        self._get_share(service).freed_count += 1

    def _get_share(self, service: str) -> _ServiceShare:
        return self._shares.setdefault(service, _ServiceShare())

    def draw(self, service: str, waiting: int, now_s: float) -> int:
        """Return how many of the waiting requests may be sent now.

        A draw uses up the slots that this instance has freed itself, and once
        in ``const.SLOT_ROUND_S`` its share of the others.

        :param service: the service
        :param waiting: how many requests wait for it here
        :param now_s: the current time in seconds
        """
        share = self._get_share(service)
        allowed, share.freed_count = share.freed_count, 0
        waiting_elsewhere = self._balancer.loads.count_waiting(service)
        if not waiting_elsewhere:
            return waiting
        if now_s < share.next_round_s:
            return min(allowed, waiting)
        share.next_round_s = now_s + const.SLOT_ROUND_S
        free = self._balancer.measure_room(
            service, now_s, balancing_const.EXTRA_REQUESTS_PER_TARGET
        ).free
        due = max(0, free - allowed) * waiting / (waiting + waiting_elsewhere)
        return min(allowed + self._round_randomly(due), waiting)

    def _round_randomly(self, value: float) -> int:
        """Round up or down so that the mean over all instances is kept."""
        whole = int(value)
        return whole + (self._rng.random() < value - whole)
