"""Limit retries to a share of recent successes or requests.

The budget is a token bucket: each deposit adds a part of a token, and a retry
costs a whole one. The dispatcher deposits at each success, the forwarder at
each request that it admits.
"""

from bambooring.routing import const


class RetryBudget:
    """Token bucket that decides whether a retry is allowed."""

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
        """Change the rates of the budget and its capacity.

        :param ratio: the tokens added at each deposit
        :param refill_per_s: the tokens added per second, without deposits
        :param capacity: the most tokens that the budget holds
        """
        self._ratio = ratio
        self._refill_per_s = refill_per_s
        self._capacity = capacity

    def deposit(self) -> None:
        """Add the tokens that one success or request earns."""
        self._add_tokens(self._ratio)

    def _add_tokens(self, tokens: float) -> None:
        self._tokens = min(self._capacity, self._tokens + tokens)

    def try_withdraw(self, now: float) -> bool:
        """Spend one token on a retry, if there is one.

        :param now: the current time in seconds
        :returns: True if the retry may be made
        """
        self._add_tokens((now - self._refilled_at) * self._refill_per_s)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
