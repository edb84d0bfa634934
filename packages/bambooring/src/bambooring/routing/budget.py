"""Bound retries by a share of recent successes."""

from bambooring.routing import const


class RetryBudget:
    """Hold how many retries are allowed now."""

    __slots__ = (
        '_refilled_at',
        '_capacity',
        '_refill_per_s',
        '_ratio',
        '_tokens',
    )

    def __init__(
        self,
        now: float,
        *,
        ratio: float = const.RETRY_BUDGET_RATIO,
        initial_tokens: float = const.RETRY_BUDGET_INITIAL_TOKENS,
        capacity: float = const.RETRY_BUDGET_CAPACITY,
        refill_per_s: float = const.RETRY_BUDGET_REFILL_PER_S,
    ) -> None:
        self._ratio = ratio
        self._capacity = capacity
        self._refill_per_s = refill_per_s
        self._tokens = initial_tokens
        self._refilled_at = now

    def set_rates(
        self, *, ratio: float, refill_per_s: float, capacity: float
    ) -> None:
        """Change what is earned and how much is kept.

        :param ratio: retries earned by a request
        :param refill_per_s: retries earned by time alone, per second
        :param capacity: how many retries are kept at most
        """
        self._ratio = ratio
        self._refill_per_s = refill_per_s
        self._capacity = capacity

    def deposit(self) -> None:
        """Take note of a success."""
        self._add_tokens(self._ratio)

    def _add_tokens(self, tokens: float) -> None:
        self._tokens = min(self._capacity, self._tokens + tokens)

    def try_withdraw(self, now: float) -> bool:
        """Spend one retry if the budget allows it.

        :param now: the current time in seconds
        :returns: True if the retry may be made
        """
        self._add_tokens((now - self._refilled_at) * self._refill_per_s)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
