"""Back off from services whose targets refuse all requests."""

from bambooring.balancing import const


class ServiceRefusals:
    """The consecutive refusals of each service's targets."""

    __slots__ = ('_backoff_until_s', '_consecutive_refusals')

    def __init__(self) -> None:
        self._consecutive_refusals: dict[str, int] = {}
        self._backoff_until_s: dict[str, float] = {}

    def is_backing_off(self, service: str, now_s: float) -> bool:
        """Return whether a service gets no requests for now."""
        return self._backoff_until_s.get(service, 0.0) > now_s

    def record_response_started(self, service: str) -> None:
        """Record that a target of a service has started a response."""
        self._consecutive_refusals.pop(service, None)

    def record_refusal(
        self, service: str, mean_duration_s: float, now_s: float
    ) -> None:
        """Record a refusal; after several the service gets no requests.

        :param service: the service's name
        :param mean_duration_s: the mean duration of its requests
        :param now_s: the current time in seconds
        """
        count = self._consecutive_refusals.get(service, 0) + 1
        self._consecutive_refusals[service] = count
        if count >= const.CONSECUTIVE_REFUSALS_THRESHOLD:
            backoff_s = min(const.SERVICE_BACKOFF_S, mean_duration_s)
            self._backoff_until_s[service] = now_s + backoff_s
