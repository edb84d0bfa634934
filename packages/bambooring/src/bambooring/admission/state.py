"""Count requests in progress and the rate of each client account.

A token bucket bounds each account's rate. The limits of an account are
those of all instances together, so each instance grants its even share.
"""

import dataclasses
import math

from returns import result

from bambooring.admission import const
from bambooring.admission import messages
from bambooring.configuration import records


@dataclasses.dataclass(slots=True, kw_only=True)
class _Usage:
    """Hold what one account uses here."""

    running: int = 0
    tokens: float = 0.0
    refilled_at: float = 0.0


class Admission:
    """Admit or refuse requests on one entry instance."""

    def __init__(self, *, max_running: int) -> None:
        self._max_running = max_running
        self._usage: dict[str, _Usage] = {}
        self.running = 0
        self.instance_count = 1

    def admit(
        self, account: records.ClientAccount, now: float
    ) -> result.Result[None, messages.Refusal]:
        """Admit a request and count it.

        :param account: whose request it is
        :param now: the current time in seconds
        :returns: success, or why it is refused
        """
        if self.running >= self._max_running:
            return _refuse(const.REASON_INSTANCE_FULL)
        usage = self._usage.get(account.name)
        if usage is None:
            usage = _Usage(tokens=self._get_burst(account), refilled_at=now)
            self._usage[account.name] = usage
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
        return math.ceil(limit / self.instance_count)

    def release(self, account: str) -> None:
        """Take note that an admitted request has ended.

        :param account: whose request it was
        """
        self.running -= 1
        usage = self._usage.get(account)
        if usage is not None:
            usage.running -= 1


def _refuse(
    reason: str, retry_after_s: float = const.DEFAULT_RETRY_AFTER_S
) -> result.Result[None, messages.Refusal]:
    refusal = messages.Refusal(reason=reason, retry_after_s=retry_after_s)
    return result.Failure(refusal)
