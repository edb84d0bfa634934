"""Limit the requests that targets run at once by the gaps of their streams.

The more requests a model group runs, the longer each of its forward passes
takes, and the gap between two events of a stream is one pass. Above some
number of requests the gaps of all streams are longer than their callers
accept. Letting a few requests wait, or refusing them, then keeps the others
on time.
"""

import math
import zlib

from bambooring.balancing import const

# The checksums by which targets are told apart are below this.
_CHECKSUM_END = 2**32


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
        '_settling_intervals',
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
        self._settling_intervals = 0

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

    def get_max_requests(self, target_id: str) -> float:
        """Return how many requests a target may run.

        Of a limit with a fraction, that share of the targets may run one more,
        the same ones at all instances. Otherwise the limit would reach a whole
        number for all targets at once, and as many requests as there are
        targets would start in the same moment.

        :param target_id: the target
        """
        if math.isinf(self.max_requests) or self.is_recovering:
            return self.max_requests
        fraction = self.max_requests % 1
        if zlib.crc32(target_id.encode()) < fraction * _CHECKSUM_END:
            return math.ceil(self.max_requests)
        return self.max_requests

    def adjust(
        self,
        mean_gaps_s: list[float],
        slots: int,
        mean_running: float = math.inf,
    ) -> None:
        """Lower the limit if the gaps are too long, raise it if short.

        Without any gaps the limit is raised too. It is lowered in proportion
        to the excess, from what the targets run on average: a limit above that
        changes nothing.

        :param mean_gaps_s: the mean gap that each instance with streams
            measured
        :param slots: the number of requests that a target can run at once
        :param mean_running: how many requests the targets run on average,
            0 if none is known to run any
        """
        is_recovering = self.is_recovering
        self._recovery_intervals = max(0, self._recovery_intervals - 1)
        self._settling_intervals = max(0, self._settling_intervals - 1)
        if not mean_gaps_s or not self.accepted_gap_s:
            self._increase(slots)
            return
        ratio = sum(mean_gaps_s) / len(mean_gaps_s) / self.accepted_gap_s
        if ratio > const.GAP_HIGH_RATIO:
            self._decrease(
                ratio, min(self.max_requests, slots, mean_running or math.inf)
            )
        elif is_recovering and ratio < const.GAP_RECOVERY_RATIO:
            self._increase(slots, const.RECOVERY_GROWTH)
        elif ratio < const.GAP_LOW_RATIO:
            self._increase(slots)

    def _decrease(self, ratio: float, used: float) -> None:
        """Lower the limit, and keep it until the gaps reflect it.

        :param ratio: the ratio of the mean gap to the accepted one
        :param used: the part of the limit that is in use
        """
        if self._settling_intervals:
            return
        self._settling_intervals = const.LIMIT_SETTLING_INTERVALS
        excess = ratio / const.GAP_HIGH_RATIO - 1
        factor = max(
            const.LIMIT_MIN_FACTOR, 1 - const.LIMIT_EXCESS_GAIN * excess
        )
        self.max_requests = max(const.LIMIT_MIN, used * factor)

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
