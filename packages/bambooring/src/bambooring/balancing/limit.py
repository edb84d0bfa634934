"""Limit what targets run at once by the pauses of their streams.

The more requests a model group runs, the longer each of its passes lasts,
and every stream pauses for a pass between two events. Beyond some number
all streams pause for longer than their callers accept; a few requests that
wait or are refused then keep the others on time.
"""

from bambooring.balancing import const


class ConcurrencyLimit:
    """Hold the limit of one service, per target."""

    __slots__ = ('_count', '_sum_s', 'accepted_s', 'gap_s', 'limit')

    def __init__(self) -> None:
        self.limit = float('inf')
        self.accepted_s = 0.0
        # The mean pause in the last interval, 0 without streams.
        self.gap_s = 0.0
        self._sum_s = 0.0
        self._count = 0

    def add(self, gap_s: float, accepted_s: float) -> None:
        """Take a pause between two events of a stream.

        :param gap_s: the pause in seconds
        :param accepted_s: the longest that the caller accepts
        """
        self._sum_s += gap_s
        self._count += 1
        self.accepted_s = accepted_s

    def close_interval(self) -> None:
        """End an interval of measuring."""
        self.gap_s = self._sum_s / self._count if self._count else 0.0
        self._sum_s = 0.0
        self._count = 0

    def adjust(self, gaps_s: list[float], slots: int) -> None:
        """Adjust the limit.

        :param gaps_s: the mean pauses that each instance with streams saw
        :param slots: how many requests a target runs at once at most
        """
        if not gaps_s or not self.accepted_s:
            self._raise(slots)
            return
        share = sum(gaps_s) / len(gaps_s) / self.accepted_s
        if share > const.GAP_HIGH_RATIO:
            limit = min(self.limit, float(slots)) - const.LIMIT_DECREMENT
            self.limit = max(const.LIMIT_MIN, limit)
        elif share < const.GAP_LOW_RATIO:
            self._raise(slots)

    def _raise(self, slots: int) -> None:
        self.limit += const.LIMIT_INCREMENT
        if self.limit > slots:
            self.limit = float('inf')
