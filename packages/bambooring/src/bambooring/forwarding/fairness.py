"""Track which accounts and routes have too few requests served.

Priority and age decide the order of the queue. During a long overload that
leaves nothing for the requests at its end. Accounts and routes that are
served less than a fraction of what all get therefore go before the others
until they have caught up.
"""

import collections.abc
import dataclasses

from bambooring.forwarding import const


@dataclasses.dataclass(slots=True, kw_only=True)
class _ResultCount:
    """Counts of recently finished requests, which decay exponentially.

    ``updated_s`` is when the counts last decayed, in the reactor's seconds.
    """

    served: float = 0.0
    refused: float = 0.0
    updated_s: float = 0.0

    def decay(self, now_s: float, half_life_s: float) -> None:
        factor = 0.5 ** ((now_s - self.updated_s) / half_life_s)
        self.served *= factor
        self.refused *= factor
        self.updated_s = now_s

    @property
    def total(self) -> float:
        return self.served + self.refused


class FairnessTracker:
    """Count served and refused requests by account and by route.

    The forwarder uses it to order its queues.
    """

    __slots__ = ('_counts', '_half_life_s', '_totals')

    def __init__(
        self, half_life_s: float = const.FAIRNESS_HALF_LIFE_S
    ) -> None:
        self._half_life_s = half_life_s
        self._totals = _ResultCount()
        self._counts: dict[str, _ResultCount] = {}

    def record_result(
        self,
        keys: collections.abc.Iterable[str],
        *,
        is_served: bool,
        now_s: float,
    ) -> None:
        """Count a request that is served or refused.

        :param keys: the keys under which it is counted, like its account's
        :param is_served: whether it got a target's response, or a slot where
            the routes of its service differ in priority
        :param now_s: the current time in seconds
        """
        counts = [self._counts.setdefault(key, _ResultCount()) for key in keys]
        for count in [self._totals, *counts]:
            count.decay(now_s, self._half_life_s)
            if is_served:
                count.served += 1
            else:
                count.refused += 1
        if len(self._counts) > const.FAIRNESS_MAX_KEYS:
            self._evict_stale(now_s)

    def _evict_stale(self, now_s: float) -> None:
        """Drop the keys that had no result for a long time."""
        oldest_s = now_s - const.FAIRNESS_EXPIRY_S
        for key, count in list(self._counts.items()):
            if count.updated_s < oldest_s:
                del self._counts[key]

    def is_underserved(self, keys: collections.abc.Iterable[str]) -> bool:
        """Return whether one of the keys has too few requests served."""
        if not self._totals.refused:
            return False
        min_share = (
            const.UNDERSERVED_SHARE * self._totals.served / self._totals.total
        )
        return any(self._is_below_share(key, min_share) for key in keys)

    def _is_below_share(self, key: str, min_share: float) -> bool:
        count = self._counts.get(key)
        if count is None or not count.total:
            return False
        return count.served < min_share * count.total

    def is_starved(
        self, key: str, min_fraction: float, reference_key: str = ''
    ) -> bool:
        """Return whether a key has too few requests served for its number.

        Unlike :meth:`is_underserved` it needs more than a few results.

        :param key: an account, a route, a subject or a size
        :param min_fraction: the fraction of the reference's served share
            below which it is starved
        :param reference_key: the key that it is compared with, '' for all
        """
        count = self._counts.get(key)
        if count is None or not count.refused:
            return False
        reference = self._totals
        if reference_key:
            reference = self._counts.get(reference_key, reference)
        share = reference.served / reference.total if reference.total else 0.0
        prior = const.FAIRNESS_PRIOR_COUNT
        smoothed_share = (count.served + prior * share) / (count.total + prior)
        return smoothed_share < min_fraction * share
