"""Bound retries by a share of recent successes."""

from bambooring.routing import const


class RetryBudget:
    """Hold how many retries are allowed now."""

    __slots__ = ('_at', '_tokens')

    def __init__(self, now: float) -> None:
        self._tokens = const.RETRY_BUDGET_START
        self._at = now

    def earn(self) -> None:
        """Take note of a success."""
        self._add(const.RETRY_RATIO)

    def _add(self, tokens: float) -> None:
        self._tokens = min(const.RETRY_BUDGET_LIMIT, self._tokens + tokens)

    def take(self, now: float) -> bool:
        """Spend one retry if the budget allows it.

        :param now: the current time in seconds
        :returns: True if the retry may be made
        """
        self._add((now - self._at) * const.RETRY_BUDGET_PER_S)
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
