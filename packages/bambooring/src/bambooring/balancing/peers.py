"""Sum up the loads that the other entry instances report.

The sums are kept as reports come and go: a request's target is chosen far
more often than any one instance reports.
"""

import collections.abc
import dataclasses

from bambooring.balancing import const
from bambooring.targets import messages as targets


@dataclasses.dataclass(slots=True, kw_only=True)
class Work:
    """Count requests and the tokens that they stand for."""

    running: int = 0
    tokens: int = 0


_NO_WORK = Work()


@dataclasses.dataclass(slots=True, kw_only=True)
class _Report:
    """Hold another instance's last report."""

    incarnation: int
    sequence: int
    heard_s: float
    loads: list[targets.TargetLoad]
    services: dict[str, targets.ServiceLoad]


class PeerLoads:
    """Hold the other instances' reports and their sums."""

    __slots__ = ('_oldest_s', '_reports', '_totals')

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._totals: dict[str, Work] = {}
        # No report is older than this.
        self._oldest_s = float('inf')

    def take(self, load: targets.Load, now_s: float) -> None:
        """Take a report, unless a newer one of its sender came first."""
        held = self._reports.get(load.sender)
        if held is not None:
            order = (held.incarnation, held.sequence)
            if (load.incarnation, load.sequence) <= order:
                return
            self._subtract(held)
        self._reports[load.sender] = _Report(
            incarnation=load.incarnation,
            sequence=load.sequence,
            heard_s=now_s,
            loads=load.targets,
            services={one.service: one for one in load.services},
        )
        self._oldest_s = min(self._oldest_s, now_s)
        for one in load.targets:
            total = self._totals.setdefault(one.target, Work())
            total.running += one.running
            total.tokens += one.tokens

    def _subtract(self, report: _Report) -> None:
        for one in report.loads:
            total = self._totals[one.target]
            total.running -= one.running
            total.tokens -= one.tokens
            if not total.running and not total.tokens:
                del self._totals[one.target]

    def forget_stale(self, now_s: float) -> None:
        """Forget the instances that haven't reported for long."""
        stale_s = now_s - const.PEER_LOAD_TTL_S
        if self._oldest_s >= stale_s:
            return
        for sender, report in list(self._reports.items()):
            if report.heard_s < stale_s:
                self._subtract(report)
                del self._reports[sender]
        self._oldest_s = min(
            (report.heard_s for report in self._reports.values()),
            default=float('inf'),
        )

    def get(self, target: str) -> Work:
        """Return what the other instances have at a target."""
        return self._totals.get(target, _NO_WORK)

    def get_age_s(self, now_s: float) -> float:
        """Return the age of the oldest report in seconds."""
        ages = (now_s - one.heard_s for one in self._reports.values())
        return max(ages, default=0.0)

    def list_services(
        self, service: str
    ) -> collections.abc.Iterator[targets.ServiceLoad]:
        """Yield what each instance says of a service."""
        for report in self._reports.values():
            found = report.services.get(service)
            if found is not None:
                yield found
