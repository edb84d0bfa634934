"""Know which accounts and routes get too few answers.

Priority and age decide who goes first. Through a long crest that leaves
nothing for the last ones, so whoever gets less than a share of the answers
that all get goes before the others until that is made up.
"""

import collections.abc
import dataclasses

from bambooring.forwarding import const


@dataclasses.dataclass(slots=True, kw_only=True)
class _Count:
    """Hold requests that ended lately; older ones weigh less."""

    served: float = 0.0
    refused: float = 0.0
    at_s: float = 0.0

    def decay(self, now_s: float) -> None:
        factor = 0.5 ** ((now_s - self.at_s) / const.FAIRNESS_HALF_LIFE_S)
        self.served *= factor
        self.refused *= factor
        self.at_s = now_s

    @property
    def total(self) -> float:
        return self.served + self.refused


class Fairness:
    """Count by account and by route how requests ended."""

    __slots__ = ('_all', '_counts')

    def __init__(self) -> None:
        self._all = _Count()
        self._counts: dict[str, _Count] = {}

    def note(
        self,
        names: collections.abc.Iterable[str],
        *,
        is_served: bool,
        now_s: float,
    ) -> None:
        """Take note of a request that has ended.

        :param names: the names under which it counts
        :param is_served: whether it got an answer of a target
        :param now_s: the current time in seconds
        """
        counts = [self._counts.setdefault(name, _Count()) for name in names]
        for count in [self._all, *counts]:
            count.decay(now_s)
            if is_served:
                count.served += 1
            else:
                count.refused += 1
        if len(self._counts) > const.FAIRNESS_MAX_KEYS:
            self._forget(now_s)

    def _forget(self, now_s: float) -> None:
        """Forget the names that nothing was heard of for long."""
        stale_s = now_s - const.FAIRNESS_EXPIRY_S
        for name, count in list(self._counts.items()):
            if count.at_s < stale_s:
                del self._counts[name]

    def is_underserved(self, names: collections.abc.Iterable[str]) -> bool:
        """Tell whether one of the names gets too few answers."""
        if not self._all.refused:
            return False
        least = const.UNDERSERVED_SHARE * self._all.served / self._all.total
        return any(self._is_below(name, least) for name in names)

    def _is_below(self, name: str, least: float) -> bool:
        count = self._counts.get(name)
        if count is None or not count.total:
            return False
        return count.served < least * count.total
