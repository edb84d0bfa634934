"""Decide how many permits for the target in this slot are granted.

The agent is the one process that all senders to the target have in common, so
the limit holds whatever the senders know of each other. It has only one
ledger: what was granted for one run of the target counts for the next run too,
and for any other target that is asked for at this address.

A permit is valid on its sender's clock from when its request was sent, and the
request arrives here later than that. So a request that uses the permit reaches
the target between the grant and the TTL and the transit allowance after it.
All that arrives within any second was therefore granted within
``GRANT_WINDOW_S``, in which no more than the limit is granted.

An earlier run of this agent may have granted up to its end, which came before
this run could open the port. Its last permits bring requests to the target for
the TTL and the transit allowance. This run grants nothing until one second
after that, so that no second has requests by permits of both runs.
"""

import collections
import dataclasses
import math

from bambooring_agent.permits import const
from bambooring_core.permits import const as permits_const
from bambooring_core.permits import messages


@dataclasses.dataclass(slots=True, kw_only=True)
class _Sender:
    """The newest request of an entry instance, received at ``seen_s``."""

    version: tuple[int, int]
    seen_s: float


class PermitLedger:
    """Count the permits that were granted within the last window.

    Times are seconds of one clock that never goes back.
    """

    __slots__ = ('_grants', '_opens_s', '_senders')

    def __init__(self, started_s: float) -> None:
        # No permit of an earlier run counts within a second of the first one
        # that this run grants.
        self._opens_s = started_s + permits_const.GRANT_WINDOW_S
        # The time and the number of permits of each grant in the window. Each
        # has at least one, so there are no more than the limit.
        self._grants: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._senders: collections.OrderedDict[str, _Sender] = (
            collections.OrderedDict()
        )

    def handle(
        self, request: messages.PermitRequest, now_s: float
    ) -> messages.PermitGrant | None:
        """Grant what the limit allows of a request for permits.

        :param request: the request
        :param now_s: the current time in seconds
        :returns: the grant, None for a repeated or late request
        """
        if not self._record_sender(request, now_s):
            return None
        self._drop_old_grants(now_s)
        limit = min(request.limit_per_s, permits_const.MAX_LIMIT)
        count = min(
            request.wanted,
            permits_const.MAX_WANTED,
            self._count_available(limit, now_s),
        )
        wait_s = 0.0
        if count > 0:
            self._grants.append((now_s, count))
        else:
            # Negative if a policy has lowered the limit.
            count = 0
            wait_s = self._get_wait_s(limit, now_s)
        return messages.PermitGrant(
            sender=request.sender,
            incarnation=request.incarnation,
            sequence=request.sequence,
            target_id=request.target_id,
            count=count,
            wait_ms=math.ceil(min(wait_s, const.MAX_WAIT_S) * 1000),
        )

    def _record_sender(
        self, request: messages.PermitRequest, now_s: float
    ) -> bool:
        """Return whether a request is newer than all others of its sender."""
        version = (request.incarnation, request.sequence)
        known = self._senders.get(request.sender)
        if (
            known is not None
            and version <= known.version
            and now_s - known.seen_s <= const.SENDER_RETENTION_S
        ):
            return False
        self._senders[request.sender] = _Sender(version=version, seen_s=now_s)
        self._senders.move_to_end(request.sender)
        while len(self._senders) > const.MAX_SENDERS:
            self._senders.popitem(last=False)
        return True

    def _drop_old_grants(self, now_s: float) -> None:
        oldest_s = now_s - permits_const.GRANT_WINDOW_S
        while self._grants and self._grants[0][0] < oldest_s:
            self._grants.popleft()

    def _count_available(self, limit: int, now_s: float) -> int:
        if now_s < self._opens_s:
            return 0
        granted = sum(count for _, count in self._grants)
        recent = self._count_recent(now_s)
        return min(limit - granted, _get_burst(limit) - recent)

    def _count_recent(self, now_s: float) -> int:
        since_s = now_s - permits_const.BURST_WINDOW_S
        return sum(
            count for granted_s, count in self._grants if granted_s > since_s
        )

    def _get_wait_s(self, limit: int, now_s: float) -> float:
        """Return after how long the next permit can be granted."""
        if now_s < self._opens_s:
            return self._opens_s - now_s
        if not self._grants:
            return const.MAX_WAIT_S
        wait_s = 0.0
        if self._count_recent(now_s) >= _get_burst(limit):
            since_s = now_s - permits_const.BURST_WINDOW_S
            first_s = next(
                (
                    granted_s
                    for granted_s, _ in self._grants
                    if granted_s > since_s
                ),
                now_s,
            )
            wait_s = first_s + permits_const.BURST_WINDOW_S - now_s
        if sum(count for _, count in self._grants) >= limit:
            oldest_s, _ = self._grants[0]
            oldest_wait_s = oldest_s + permits_const.GRANT_WINDOW_S - now_s
            wait_s = max(wait_s, oldest_wait_s)
        return max(wait_s, 0.0)


def _get_burst(limit: int) -> int:
    """Return how many permits may be granted within ``BURST_WINDOW_S``."""
    return math.ceil(limit * permits_const.BURST_SHARE)
