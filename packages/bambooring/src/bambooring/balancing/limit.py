"""Limit what targets run at once by the pauses of their streams.

The more requests a model group runs, the longer each of its passes lasts,
and every stream pauses for a pass between two events. Beyond some number
all streams pause for longer than their callers accept; a few requests that
wait or are refused then keep the others on time.
"""

from bambooring.balancing import const


class ConcurrencyLimit:
    """Hold the limit of one service, per target."""

    __slots__ = (
        '_gap_count',
        '_gap_sum_s',
        'accepted_gap_s',
        'mean_gap_s',
        'limit',
    )

    def __init__(self) -> None:
        self.limit = float('inf')
        self.accepted_gap_s = 0.0
        # The mean pause in the last interval, 0 without streams.
        self.mean_gap_s = 0.0
        self._gap_sum_s = 0.0
        self._gap_count = 0

    def add_gap(self, gap_s: float, accepted_gap_s: float) -> None:
        """Take a pause between two events of a stream.

        :param gap_s: the pause in seconds
        :param accepted_gap_s: the longest that the caller accepts
        """
        self._gap_sum_s += gap_s
        self._gap_count += 1
        self.accepted_gap_s = accepted_gap_s

    def close_interval(self) -> None:
        """End an interval of measuring."""
        self.mean_gap_s = (
            self._gap_sum_s / self._gap_count if self._gap_count else 0.0
        )
        self._gap_sum_s = 0.0
        self._gap_count = 0

    def adjust(self, mean_gaps_s: list[float], slots: int) -> None:
        """Adjust the limit.

        :param mean_gaps_s: the mean pauses that each instance with streams saw
        :param slots: how many requests a target runs at once at most
        """
        if not mean_gaps_s or not self.accepted_gap_s:
            self._increase(slots)
            return
        ratio = sum(mean_gaps_s) / len(mean_gaps_s) / self.accepted_gap_s
        if ratio > const.GAP_HIGH_RATIO:
            limit = min(self.limit, float(slots)) - const.LIMIT_DECREMENT
            self.limit = max(const.LIMIT_MIN, limit)
        elif ratio < const.GAP_LOW_RATIO:
            self._increase(slots)

    def _increase(self, slots: int) -> None:
        self.limit += const.LIMIT_INCREMENT
        if self.limit > slots:
            self.limit = float('inf')
