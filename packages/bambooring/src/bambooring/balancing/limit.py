"""Limit the requests that targets run at once by the gaps of their streams.

The more requests a model group runs, the longer each of its forward passes
takes, and the gap between two events of a stream is one pass. Above some
number of requests the gaps of all streams are longer than their callers
accept. Letting a few requests wait, or refusing them, then keeps the others
on time.
"""

from bambooring.balancing import const


class ConcurrencyLimit:
    """Adapt the number of requests that each target of a service may run.

    ``max_requests`` is that number, infinite while the service isn't limited.
    ``mean_gap_s`` is the mean gap between two events of a stream in the last
    closed interval, 0 if there was none. ``accepted_gap_s`` is the longest
    gap that the latest caller accepts.
    """

    __slots__ = (
        '_gap_count',
        '_gap_sum_s',
        '_recovery_intervals',
        'accepted_gap_s',
        'mean_gap_s',
        'max_requests',
    )

    def __init__(self) -> None:
        self.max_requests = float('inf')
        self.accepted_gap_s = 0.0
        self.mean_gap_s = 0.0
        self._gap_sum_s = 0.0
        self._gap_count = 0
        self._recovery_intervals = 0

    @property
    def is_recovering(self) -> bool:
        """Return whether the service was out until a moment ago."""
        return self._recovery_intervals > 0

    def add_gap(self, gap_s: float, accepted_gap_s: float) -> None:
        """Add a gap between two events of a stream to the open interval.

        :param gap_s: the gap in seconds
        :param accepted_gap_s: the longest gap that the caller accepts
        """
        self._gap_sum_s += gap_s
        self._gap_count += 1
        self.accepted_gap_s = accepted_gap_s

    def close_interval(self) -> None:
        """Compute the mean gap of the open interval and start the next."""
        self.mean_gap_s = (
            self._gap_sum_s / self._gap_count if self._gap_count else 0.0
        )
        self._gap_sum_s = 0.0
        self._gap_count = 0

    def adjust(self, mean_gaps_s: list[float], slots: int) -> None:
        """Lower the limit if the gaps are too long, raise it if short.

        Without any gaps the limit is raised too.

        :param mean_gaps_s: the mean gap that each instance with streams
            measured
        :param slots: the number of requests that a target can run at once
        """
        is_recovering = self.is_recovering
        self._recovery_intervals = max(0, self._recovery_intervals - 1)
        if not mean_gaps_s or not self.accepted_gap_s:
            self._increase(slots)
            return
        ratio = sum(mean_gaps_s) / len(mean_gaps_s) / self.accepted_gap_s
        if ratio > const.GAP_HIGH_RATIO:
            limit = (
                min(self.max_requests, float(slots)) - const.LIMIT_DECREMENT
            )
            self.max_requests = max(const.LIMIT_MIN, limit)
        elif is_recovering and ratio < const.GAP_RECOVERY_RATIO:
            self._increase(slots, const.RECOVERY_GROWTH)
        elif ratio < const.GAP_LOW_RATIO:
            self._increase(slots)

    def restart(self) -> None:
        """Begin with the lowest limit, because the service was out.

        All callers that waited come at once, and the service is slow at first.
        """
        self.max_requests = min(self.max_requests, const.LIMIT_MIN)
        self._recovery_intervals = const.RECOVERY_INTERVALS

    def _increase(self, slots: int, growth: float = 1.0) -> None:
        increment = max(
            const.LIMIT_INCREMENT, self.max_requests * (growth - 1.0)
        )
        self.max_requests += increment
        if self.max_requests > slots:
            self.max_requests = float('inf')
