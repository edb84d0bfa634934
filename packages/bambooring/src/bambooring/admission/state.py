"""Limit the running requests and the request rate of each client account.

A token bucket limits the rate of each account. The limits of an account
apply to all entry instances together, so each instance grants an equal share
of them.
"""

import dataclasses
import math

from returns import result

from bambooring.admission import const
from bambooring.admission import messages
from bambooring.configuration import records


@dataclasses.dataclass(slots=True, kw_only=True)
class _Usage:
    """The running requests and the token bucket of one account.

    ``refilled_at`` is the time, in seconds, up to which the bucket was
    refilled.
    """

    running: int = 0
    tokens: float = 0.0
    refilled_at: float = 0.0


class Admission:
    """Admit or refuse requests on one entry instance.

    ``running`` counts the admitted requests that haven't ended.
    ``instance_count`` is the number of entry instances that share the
    limits of the accounts; the owner keeps it up to date.
    """

    def __init__(self, *, max_running: int) -> None:
        self._max_running = max_running
        self._usage_by_account: dict[str, _Usage] = {}
        self.running = 0
        self.instance_count = 1

    def admit(
        self, account: records.ClientAccount, now: float
    ) -> result.Result[None, messages.Refusal]:
        """Admit a request and count it as running.

        :param account: the account that the request belongs to
        :param now: the current time in seconds
        :returns: success, or why the request is refused
        """
        if self.running >= self._max_running:
            return _refuse(const.REASON_INSTANCE_FULL)
        usage = self._usage_by_account.get(account.name)
        if usage is None:
            usage = _Usage(tokens=self._get_burst(account), refilled_at=now)
            self._usage_by_account[account.name] = usage
        if usage.running >= self._get_share(account.limits.in_flight):
            return _refuse(const.REASON_ACCOUNT_IN_FLIGHT)
        rate = account.limits.requests_per_s / self.instance_count
        self._refill(usage, account, rate, now)
        if usage.tokens < 1:
            wait_s = (1 - usage.tokens) / rate
            return _refuse(const.REASON_ACCOUNT_RATE, wait_s)
        usage.tokens -= 1
        usage.running += 1
        self.running += 1
        return result.Success(None)

    def _refill(
        self,
        usage: _Usage,
        account: records.ClientAccount,
        rate: float,
        now: float,
    ) -> None:
        tokens = usage.tokens + (now - usage.refilled_at) * rate
        usage.tokens = min(self._get_burst(account), tokens)
        usage.refilled_at = now

    def _get_burst(self, account: records.ClientAccount) -> float:
        return float(self._get_share(account.limits.burst))

    def _get_share(self, limit: int) -> int:
        """Return this instance's share of an account's limit, rounded up."""
        return math.ceil(limit / self.instance_count)

    def release(self, account: str) -> None:
        """Stop counting an admitted request that has ended.

        :param account: the name of the account that it belongs to
        """
        self.running -= 1
        usage = self._usage_by_account.get(account)
        if usage is not None:
            usage.running -= 1


def _refuse(
    reason: str, retry_after_s: float = const.DEFAULT_RETRY_AFTER_S
) -> result.Result[None, messages.Refusal]:
    refusal = messages.Refusal(reason=reason, retry_after_s=retry_after_s)
    return result.Failure(refusal)
