"""Estimate the load of each expert from the counts that ranks report."""

import math
import typing

from bambooring.experts import placement
from bambooring_core import errors
from bambooring_core.ranks import messages as ranks

# A count of this age weighs half as much as a new one, in a group that is as
# small as REFERENCE_RANKS. More ranks count more requests, so that a shorter
# time is enough and the estimate follows shifts of the demand sooner.
HALF_LIFE_S: typing.Final = 0.7
MIN_HALF_LIFE_S: typing.Final = 0.3
REFERENCE_RANKS: typing.Final = 12

# Old counts don't decay; instead the weight of new ones doubles with every
# half-life. Before it grows so large that sums become inexact, all loads are
# scaled down.
_RESCALE_AFTER_HALF_LIVES: typing.Final = 40.0


class DemandEstimate:
    """Sum up the counts of one group, weighted by their age.

    ``loads_by_set`` holds the load of each expert; only ratios of loads
    matter. Which experts are chosen depends on the requests, so the estimate
    outlasts the group's epochs: a group that reopens can be given a suitable
    map at once.
    """

    __slots__ = ('_half_life_s', '_reference_s', 'loads_by_set')

    def __init__(self) -> None:
        self._half_life_s = HALF_LIFE_S
        self.loads_by_set: list[placement.Loads] = []
        # When new counts had the weight 1.
        self._reference_s = 0.0

    def set_group_size(self, size: int, now_s: float) -> None:
        """Adapt the half-life to the number of ranks of the group.

        :param size: the number of ranks
        :param now_s: the current time in seconds
        """
        half_life_s = HALF_LIFE_S * math.sqrt(REFERENCE_RANKS / max(1, size))
        half_life_s = min(HALF_LIFE_S, max(MIN_HALF_LIFE_S, half_life_s))
        if half_life_s != self._half_life_s:
            self._scale_down(now_s)
            self._half_life_s = half_life_s

    def add(self, report: ranks.RankDemand, now_s: float) -> None:
        """Add the counts of one rank's report.

        Counts of another shape than before replace all earlier ones.

        :param report: how often requests chose each expert since the rank's
            last report
        :param now_s: the current time in seconds
        :raises FrameError: if the counts can't be unpacked or split into sets
        """
        rows = _split_into_sets(
            ranks.unpack_counts(report.packed), report.sets
        )
        if [len(row) for row in rows] != [
            len(loads) for loads in self.loads_by_set
        ]:
            self.loads_by_set = [[0.0] * len(row) for row in rows]
            self._reference_s = now_s
        weight = self._compute_weight(now_s)
        for loads, row in zip(self.loads_by_set, rows, strict=True):
            for expert, count in enumerate(row):
                if count:
                    loads[expert] += count * weight

    def _compute_weight(self, now_s: float) -> float:
        """Return the weight of new counts; scale the loads down if due."""
        half_lives = (now_s - self._reference_s) / self._half_life_s
        if half_lives < _RESCALE_AFTER_HALF_LIVES:
            return 2.0**half_lives
        self._scale_down(now_s)
        return 1.0

    def _scale_down(self, now_s: float) -> None:
        """Scale the loads so that new counts have the weight 1."""
        factor = 0.5 ** ((now_s - self._reference_s) / self._half_life_s)
        self.loads_by_set = [
            [load * factor for load in loads] for loads in self.loads_by_set
        ]
        self._reference_s = now_s

    @property
    def has_demand(self) -> bool:
        """Return whether any load is known."""
        return any(sum(loads) > 0 for loads in self.loads_by_set)


def _split_into_sets(counts: list[int], set_count: int) -> list[list[int]]:
    """Split the counts of all sets into one row per set.

    :raises FrameError: if the sets don't all have equally many counts
    """
    if not set_count or not counts or len(counts) % set_count:
        raise errors.FrameError(f'{len(counts)} counts of {set_count} sets')
    size = len(counts) // set_count
    return [
        counts[start : start + size]
        for start in range(0, size * set_count, size)
    ]
