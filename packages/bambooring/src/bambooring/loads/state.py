"""Keep the load that all other entry instances put on each target.

Instances of the own failure domain report each change directly. The relay of
each other domain sends the sum of its domain.
"""

import collections.abc

from bambooring.loads import messages
from bambooring.loads import peers
from bambooring.loads import summaries
from bambooring.loads import suspicions as suspicions_module
from bambooring.loads import waiting
from bambooring.targets import messages as targets


class ClusterLoads:
    """Keep the newest reports and summaries, and the totals by target."""

    __slots__ = ('_peers', '_remote', 'suspicions')

    def __init__(self) -> None:
        self._peers = peers.PeerLoads()
        self._remote = summaries.RemoteLoads()
        self.suspicions = suspicions_module.SuspicionTable()

    def add_report(self, load: targets.Load, now_s: float) -> bool:
        """Store a report of an instance of the own failure domain.

        :returns: False if one as new or newer of its sender came first
        """
        is_new = self._peers.add_report(load, now_s)
        if is_new:
            self.suspicions.set_report(load, now_s)
        return is_new

    def drop_reports(self, senders: collections.abc.Iterable[str]) -> None:
        """Drop the reports of instances that a summary covers from now on."""
        senders = list(senders)
        self._peers.drop_reports(senders)
        self.suspicions.drop_reports(senders)

    def add_summary(self, summary: messages.DomainLoad, now_s: float) -> bool:
        """Store a summary of another failure domain.

        :returns: False if it is not newer than what is known
        """
        is_new = self._remote.apply(summary, now_s)
        if is_new:
            self.suspicions.set_summary(summary, now_s)
        return is_new

    def expire(self, now_s: float) -> None:
        """Drop the reports and summaries that are older than their TTL."""
        self._peers.expire_reports(now_s)
        self._remote.expire(now_s)
        self.suspicions.expire(now_s)

    def get_load(self, target_id: str) -> peers.RunningLoad:
        """Return what the other instances have running at a target."""
        near = self._peers.get_load(target_id)
        remote = self._remote.get_load(summaries.compute_target_key(target_id))
        if remote is None:
            return near
        return peers.RunningLoad(
            running=near.running + remote.running,
            tokens=near.tokens + remote.tokens,
        )

    def count_running(self, target_id: str) -> int:
        """Return how many requests other instances have at a target."""
        running = self._peers.get_load(target_id).running
        remote = self._remote.get_load(summaries.compute_target_key(target_id))
        return running if remote is None else running + remote.running

    @property
    def is_shared(self) -> bool:
        """Return whether other instances have reported lately."""
        return self._peers.has_reports or self._remote.has_domains

    def get_relay(self, failure_domain: str, now_s: float) -> str:
        """Return the address of a domain's relay, '' if it is not known."""
        return self._remote.get_relay(failure_domain, now_s)

    def get_oldest_age_s(self, now_s: float) -> float:
        """Return the age of the oldest report in use, 0 without any."""
        return max(
            self._peers.get_oldest_report_age_s(now_s),
            self._remote.get_oldest_age_s(now_s),
        )

    def count_waiting(self, service: str) -> int:
        """Return how many requests wait for a service at other instances."""
        near = self._peers.list_service_loads(service)
        remote = self._remote.list_service_totals(service)
        return sum(entry.waiting for entry in near) + sum(
            total.waiting for total in remote
        )

    def count_waiting_by_urgency(self, service: str) -> waiting.Counts:
        """Return how many requests of each urgency wait elsewhere."""
        total = waiting.sum_counts(self._remote.list_service_totals(service))
        near = self._peers.get_waiting(service)
        if near is not None:
            waiting.add_counts(total, near)
        return total

    def list_demand(
        self, service: str, target_ids: collections.abc.Collection[str]
    ) -> collections.abc.Iterator[tuple[str, int]]:
        """Yield what others have running and waiting of a service.

        :param service: the service's name
        :param target_ids: its targets
        :returns: the address of an instance, or the name of another failure
            domain, and its number of requests
        """
        yield from self._peers.list_demand(service, target_ids)
        keys = [summaries.compute_target_key(item) for item in target_ids]
        yield from self._remote.list_demand(service, keys)

    def count_waiting_far(self, service: str) -> waiting.Counts | None:
        """Return how many requests of each urgency wait in other domains.

        :returns: the counts, None if all instances report directly
        """
        if not self._remote.has_domains:
            return None
        return waiting.sum_counts(self._remote.list_service_totals(service))

    def list_gaps_s(self, service: str) -> collections.abc.Iterator[float]:
        """Yield the mean gap that each other instance with streams has.

        Instances of another failure domain count with the mean over them.
        """
        for entry in self._peers.list_service_loads(service):
            if entry.gap_ms:
                yield entry.gap_ms / 1000
        for total in self._remote.list_service_totals(service):
            yield from [total.gap_ms / 1000] * total.gap_instances

    def sum_domain(
        self, own: targets.Load, now_s: float
    ) -> tuple[dict[int, summaries.Load], list[messages.ServiceTotal]]:
        """Sum up the reports of the own failure domain.

        :param own: the own report
        :param now_s: the current time in seconds
        :returns: the load of each target that has any, by key, and the totals
            of the services
        """
        self.expire(now_s)
        loads = {
            summaries.compute_target_key(target_id): (
                load.running,
                load.tokens,
            )
            for target_id, load in self._peers.list_totals()
        }
        for entry in own.targets:
            key = summaries.compute_target_key(entry.target)
            running, tokens = loads.get(key, (0, 0))
            loads[key] = (running + entry.running, tokens + entry.tokens)
        own_services = {entry.service: entry for entry in own.services}
        totals = [
            self._sum_service(name, own_services.get(name))
            for name in sorted(
                self._peers.list_services() | own_services.keys()
            )
        ]
        return loads, totals

    def _sum_service(
        self, name: str, own: targets.ServiceLoad | None
    ) -> messages.ServiceTotal:
        entries = list(self._peers.list_service_loads(name))
        if own is not None:
            entries.append(own)
        gaps_ms = [entry.gap_ms for entry in entries if entry.gap_ms]
        return messages.ServiceTotal(
            service=name,
            waiting=sum(entry.waiting for entry in entries),
            gap_ms=round(sum(gaps_ms) / len(gaps_ms)) if gaps_ms else 0,
            gap_instances=len(gaps_ms),
            waiting_by_urgency=waiting.sum_counts(entries)
            if any(entry.waiting_by_urgency for entry in entries)
            else [],
        )

    def get_domain_age_s(self, now_s: float) -> float:
        """Return the age of the own domain's oldest report in seconds."""
        return self._peers.get_oldest_report_age_s(now_s)
