"""Estimate the load of each expert from what the ranks report."""

import typing

from bambooring.experts import placement
from bambooring_core.ranks import messages as ranks

# What was chosen this long ago counts half.
HALF_LIFE_S: typing.Final = 0.7

# Newer counts weigh more instead of older ones less; before the weight
# grows beyond what adds up exactly, all is scaled down.
_RESCALE_AFTER_HALF_LIVES: typing.Final = 40.0


class DemandEstimate:
    """Hold the weighted counts of one group; only their ratios matter.

    What is chosen depends on the requests, so it outlasts the group's
    epochs: a group that opens again can be given a fitting map at once.
    """

    __slots__ = ('_reference_s', 'loads_by_set')

    def __init__(self) -> None:
        self.loads_by_set: list[placement.Loads] = []
        self._reference_s = 0.0

    def add(self, report: ranks.RankDemand, now_s: float) -> None:
        """Add what one rank's requests chose.

        :param report: the counts since the rank's last report
        :param now_s: the current time in seconds
        :raises FrameError: if the report can't be unpacked
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
        half_lives = (now_s - self._reference_s) / HALF_LIFE_S
        if half_lives < _RESCALE_AFTER_HALF_LIVES:
            return 2.0**half_lives
        factor = 0.5**half_lives
        self.loads_by_set = [
            [load * factor for load in loads] for loads in self.loads_by_set
        ]
        self._reference_s = now_s
        return 1.0

    @property
    def has_demand(self) -> bool:
        """Tell whether any demand is known."""
        return any(sum(loads) > 0 for loads in self.loads_by_set)


def _split_into_sets(counts: list[int], set_count: int) -> list[list[int]]:
    size = len(counts) // max(1, set_count)
    return [
        counts[start : start + size]
        for start in range(0, size * set_count, size)
    ]
