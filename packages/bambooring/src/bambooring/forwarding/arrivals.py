"""Recognize large prompts and returning callers among a route's requests."""

import collections
import dataclasses
import enum

from bambooring.forwarding import const


class SizeClass(enum.StrEnum):
    """The size of a prompt among those of its route.

    LARGEST is the largest tenth, LARGE the fifth below it.
    """

    USUAL = ''
    LARGE = 'large'
    LARGEST = 'largest'


class RecentValues:
    """Quantiles over the last values, computed anew after some more of them.

    A window that is sorted now and then is exact, and cheaper than a digest at
    these counts.
    """

    __slots__ = ('_quantiles', '_since_update', '_values')

    def __init__(self) -> None:
        self._values: collections.deque[float] = collections.deque(
            maxlen=const.QUANTILE_WINDOW
        )
        self._quantiles: dict[float, float] = {}
        self._since_update = 0

    def add(self, value: float) -> None:
        """Add a value; the oldest one is dropped."""
        self._values.append(value)
        self._since_update += 1
        if self._since_update >= const.QUANTILE_UPDATE_EVERY:
            self._quantiles.clear()
            self._since_update = 0

    @property
    def count(self) -> int:
        """Return how many values the quantiles are computed from."""
        return len(self._values)

    def get(self, share: float) -> float:
        """Return the value that a share of the values doesn't exceed.

        :param share: one of ``const.QUANTILES``
        """
        if share not in self._quantiles:
            ordered = sorted(self._values)
            for item in const.QUANTILES:
                index = min(int(item * len(ordered)), len(ordered) - 1)
                self._quantiles[item] = ordered[index]
        return self._quantiles[share]


@dataclasses.dataclass(slots=True, kw_only=True)
class Traits:
    """How a request compares with the others of its route.

    ``elapsed_s`` is the time since the first attempt of a returning caller,
    0 for others.
    """

    size: SizeClass
    elapsed_s: float

    @property
    def is_returning(self) -> bool:
        """Return whether the caller comes back after a refusal."""
        return self.elapsed_s > 0


class ArrivalTracker:
    """Track the prompt sizes and time limits of each route's requests."""

    __slots__ = ('_sizes', '_times_left_s')

    def __init__(self) -> None:
        self._sizes: dict[str, RecentValues] = {}
        self._times_left_s: dict[str, RecentValues] = {}

    def classify(
        self, route: str, prompt_tokens: int, time_left_s: float | None
    ) -> Traits:
        """Record a request and return how it compares with the others.

        :param route: the route's name
        :param prompt_tokens: the size of its prompt
        :param time_left_s: how long its caller waits, None if not known
        """
        sizes = self._sizes.setdefault(route, RecentValues())
        sizes.add(prompt_tokens)
        elapsed_s = 0.0
        if time_left_s is not None:
            times_s = self._times_left_s.setdefault(route, RecentValues())
            times_s.add(time_left_s)
            elapsed_s = _compute_elapsed_s(times_s, time_left_s)
        return Traits(
            size=_classify_size(sizes, prompt_tokens), elapsed_s=elapsed_s
        )


def _classify_size(sizes: RecentValues, prompt_tokens: int) -> SizeClass:
    if sizes.count < const.QUANTILE_MIN_VALUES:
        return SizeClass.USUAL
    if prompt_tokens > sizes.get(const.LARGEST_FROM_SHARE):
        return SizeClass.LARGEST
    if prompt_tokens > sizes.get(const.LARGE_FROM_SHARE):
        return SizeClass.LARGE
    return SizeClass.USUAL


def _compute_elapsed_s(times_s: RecentValues, time_left_s: float) -> float:
    """Return the time since a caller's first attempt, 0 if this is the first.

    Callers whose first attempts all have the same time limit come back with
    less. Where the time limits differ anyway, nothing can be told.
    """
    if times_s.count < const.QUANTILE_MIN_VALUES:
        return 0.0
    usual_s = times_s.get(const.USUAL_TIME_SHARE)
    if times_s.get(const.COMMON_TIME_SHARE) < usual_s * (
        1 - const.COMMON_TIME_TOLERANCE
    ):
        return 0.0
    elapsed_s = usual_s - time_left_s
    return elapsed_s if elapsed_s >= const.RETURNING_MIN_S else 0.0
