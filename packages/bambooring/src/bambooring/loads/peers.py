"""Sum up the load that the other entry instances put on each target.

The totals are updated when a report arrives or expires rather than computed
on each use: targets are chosen far more often than any instance reports.
"""

import collections.abc
import dataclasses

from bambooring.loads import const
from bambooring.loads import waiting
from bambooring.policy import urgency
from bambooring.targets import messages as targets


@dataclasses.dataclass(slots=True, kw_only=True)
class RunningLoad:
    """Count the requests running at a target, and their unread tokens."""

    running: int = 0
    tokens: int = 0


_NO_LOAD = RunningLoad()


@dataclasses.dataclass(slots=True, kw_only=True)
class _PeerReport:
    """The last load report of one other entry instance.

    ``received_s`` is the local time in seconds at which it arrived.
    """

    incarnation: int
    sequence: int
    received_s: float
    target_loads: list[targets.TargetLoad]
    service_loads: dict[str, targets.ServiceLoad]


class PeerLoads:
    """Keep the last report of each other instance and the totals by target."""

    __slots__ = ('_oldest_received_s', '_reports', '_totals', '_waiting')

    def __init__(self) -> None:
        self._reports: dict[str, _PeerReport] = {}
        self._totals: dict[str, RunningLoad] = {}
        # By service: how many requests of each urgency wait.
        self._waiting: dict[str, waiting.Counts] = {}
        # Lower bound of the time at which any kept report was received.
        self._oldest_received_s = float('inf')

    def add_report(self, load: targets.Load, now_s: float) -> bool:
        """Store a report.

        :returns: False if one as new or newer of its sender came first
        """
        previous = self._reports.get(load.sender)
        if previous is not None:
            previous_key = (previous.incarnation, previous.sequence)
            if (load.incarnation, load.sequence) <= previous_key:
                return False
            self._subtract_report(previous)
        self._reports[load.sender] = _PeerReport(
            incarnation=load.incarnation,
            sequence=load.sequence,
            received_s=now_s,
            target_loads=load.targets,
            service_loads={entry.service: entry for entry in load.services},
        )
        self._oldest_received_s = min(self._oldest_received_s, now_s)
        for entry in load.targets:
            total = self._totals.setdefault(entry.target, RunningLoad())
            total.running += entry.running
            total.tokens += entry.tokens
        for service_load in self._reports[load.sender].service_loads.values():
            self._add_waiting(service_load, 1)
        return True

    def _add_waiting(self, entry: targets.ServiceLoad, sign: int) -> None:
        if entry.waiting:
            waiting.add_counts(
                self._waiting.setdefault(
                    entry.service, [0] * urgency.CLASS_COUNT
                ),
                waiting.list_counts(entry),
                sign,
            )

    def get_waiting(self, service: str) -> waiting.Counts | None:
        """Return how many requests of each urgency wait elsewhere."""
        return self._waiting.get(service)

    def _subtract_report(self, report: _PeerReport) -> None:
        for target_load in report.target_loads:
            total = self._totals.get(target_load.target)
            if total is None:
                continue
            total.running -= target_load.running
            total.tokens -= target_load.tokens
            if not total.running and not total.tokens:
                del self._totals[target_load.target]
        for service_load in report.service_loads.values():
            self._add_waiting(service_load, -1)

    @property
    def has_reports(self) -> bool:
        """Return whether any other instance's report is kept."""
        return bool(self._reports)

    def drop_reports(self, senders: collections.abc.Iterable[str]) -> None:
        """Drop the reports of some instances."""
        for sender in senders:
            report = self._reports.pop(sender, None)
            if report is not None:
                self._subtract_report(report)

    def expire_reports(self, now_s: float) -> None:
        """Drop the reports that are older than their TTL."""
        expired_before_s = now_s - const.PEER_LOAD_TTL_S
        if self._oldest_received_s >= expired_before_s:
            return
        for sender, report in list(self._reports.items()):
            if report.received_s < expired_before_s:
                self._subtract_report(report)
                del self._reports[sender]
        self._oldest_received_s = min(
            (report.received_s for report in self._reports.values()),
            default=float('inf'),
        )

    def get_load(self, target_id: str) -> RunningLoad:
        """Return what the other instances have running at a target."""
        return self._totals.get(target_id, _NO_LOAD)

    def get_oldest_report_age_s(self, now_s: float) -> float:
        """Return the age of the oldest report in seconds, 0 without any."""
        ages = (now_s - report.received_s for report in self._reports.values())
        return max(ages, default=0.0)

    def list_totals(
        self,
    ) -> collections.abc.Iterator[tuple[str, RunningLoad]]:
        """Yield each target with load and its load."""
        yield from self._totals.items()

    def list_services(self) -> set[str]:
        """Return the services of which any other instance reports."""
        return {
            service
            for report in self._reports.values()
            for service in report.service_loads
        }

    def list_demand(
        self, service: str, target_ids: collections.abc.Container[str]
    ) -> collections.abc.Iterator[tuple[str, int]]:
        """Yield what each instance has running and waiting of a service.

        :param service: the service's name
        :param target_ids: its targets
        :returns: each sender and its number of requests
        """
        for sender, report in self._reports.items():
            service_load = report.service_loads.get(service)
            running = sum(
                entry.running
                for entry in report.target_loads
                if entry.target in target_ids
            )
            waiting_count = service_load.waiting if service_load else 0
            yield sender, running + waiting_count

    def list_service_loads(
        self, service: str
    ) -> collections.abc.Iterator[targets.ServiceLoad]:
        """Yield what each other instance reports about a service."""
        for report in self._reports.values():
            service_load = report.service_loads.get(service)
            if service_load is not None:
                yield service_load
