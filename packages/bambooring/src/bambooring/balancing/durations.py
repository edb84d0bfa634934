"""Average the durations of each service's requests."""

from bambooring.balancing import const


class MeanDurations:
    """The moving average of request durations by service."""

    __slots__ = ('_means_s',)

    def __init__(self) -> None:
        self._means_s: dict[str, float] = {}

    def add(self, service: str, duration_s: float) -> None:
        """Add the duration of a complete request, in seconds."""
        mean_s = self._means_s.get(service, duration_s)
        mean_s += const.DURATION_EWMA_WEIGHT * (duration_s - mean_s)
        self._means_s[service] = mean_s

    def get_s(self, service: str) -> float:
        """Return the mean duration of a service's requests, in seconds."""
        return self._means_s.get(service, const.DEFAULT_DURATION_S)
