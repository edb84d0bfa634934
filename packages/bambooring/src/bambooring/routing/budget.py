"""Limit retries to a share of recent successes or requests.

The budget is a token bucket: each deposit adds a part of a token, and a retry
costs a whole one. The dispatcher deposits at each success, the forwarder at
each request that it admits.
"""

import dataclasses

from bambooring.routing import const


@dataclasses.dataclass(slots=True, kw_only=True)
class SharedRates:
    """What one instance may spend of the retries that all share.

    ``capacity`` is the burst, ``refill_per_s`` the rate in retries a second.
    """

    capacity: float
    refill_per_s: float


def share_rates(
    *, slack: float, window_s: float, instance_count: int
) -> SharedRates:
    """Share the retries that are allowed beside those earned by requests.

    In any window all bursts and all that is refilled may be spent, so their
    sum must not exceed the slack. An instance whose burst is below 1 could
    never retry; in a large fleet the bursts therefore leave less to refill.

    :param slack: the retries that all instances may spend in a window
    :param window_s: the window in seconds
    :param instance_count: the number of instances
    """
    capacity = slack * const.BURST_SHARE / instance_count
    if instance_count <= slack:
        capacity = max(1.0, capacity)
    refill = min(
        slack * (1 - const.BURST_SHARE), slack - capacity * instance_count
    )
    return SharedRates(
        capacity=capacity,
        refill_per_s=max(0.0, refill) / instance_count / window_s,
    )


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
        self._refill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def has_reserve(self, now: float) -> bool:
        """Return whether retries are left for more than what must be retried.

        :param now: the current time in seconds
        """
        self._refill(now)
        reserve = self._capacity * const.RETRY_RESERVE_SHARE
        return self._tokens >= max(1.0, reserve)

    def _refill(self, now: float) -> None:
        self._add_tokens((now - self._refilled_at) * self._refill_per_s)
        self._refilled_at = now
