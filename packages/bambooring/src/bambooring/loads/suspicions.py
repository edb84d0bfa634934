"""Track which targets the other entry instances suspect of failing.

Instances of the own failure domain list what they suspect in their load
reports. The relay of each other domain tells how many instances there suspect
a target. Both name a run of a target, so that nothing that is said of an
earlier run counts for a later one.

An instance that is cut off, or broken itself, sees many targets fail. What it
says of a service is left out if it suspects more than
``const.MAX_SUSPECTED_SHARE`` of the service's targets, and what it says of a
failure domain if it suspects more than ``const.MAX_SUSPECTED_DOMAIN_SHARE`` of
the service's targets there.
"""

import collections
import collections.abc
import dataclasses
import functools
import typing
import zlib

from bambooring.loads import const
from bambooring.loads import messages
from bambooring.targets import messages as targets

# The id of a target and the start of its run.
Run: typing.TypeAlias = tuple[str, int]

TargetsByService = collections.abc.Mapping[
    str, collections.abc.Mapping[str, targets.Target]
]


@functools.lru_cache(maxsize=const.MAX_CACHED_KEYS)
def compute_run_key(run: Run) -> int:
    """Return the number that stands for a run of a target in summaries."""
    target_id, born_ms = run
    return zlib.crc32(f'{target_id} {born_ms}'.encode())


@dataclasses.dataclass(slots=True, kw_only=True)
class DomainSuspicions:
    """What the instances of a failure domain suspect, and have seen answer.

    ``counts`` has the number of suspecting instances by run key.
    ``sound_keys`` are runs that completed a response while suspected.
    """

    counts: dict[int, int]
    sound_keys: set[int]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Report:
    """What one instance said last; ``received_s`` is when it arrived."""

    received_s: float
    suspicions: list[targets.Suspicion]


class SuspicionTable:
    """Keep the newest suspicions of each other instance and domain.

    ``version`` changes with each change of what is known.
    """

    __slots__ = (
        '_domains',
        '_domains_received_s',
        '_reports',
        '_runs',
        '_sizes',
        'version',
    )

    def __init__(self) -> None:
        self.version = 0
        self._reports: dict[str, _Report] = {}
        self._domains: dict[str, DomainSuspicions] = {}
        self._domains_received_s: dict[str, float] = {}
        self._runs: dict[Run, targets.Target] = {}
        # The number of targets by service, and by service and domain.
        self._sizes: collections.Counter[tuple[str, ...]] = (
            collections.Counter()
        )

    def set_targets(self, by_service: TargetsByService) -> None:
        """Replace the targets that suspicions may be about."""
        self._runs = {
            (target.id, target.born_ms): target
            for service_targets in by_service.values()
            for target in service_targets.values()
        }
        self._sizes = collections.Counter(
            key for target in self._runs.values() for key in _list_keys(target)
        )
        self.version += 1

    def set_report(self, load: targets.Load, now_s: float) -> None:
        """Store what an instance of the own failure domain suspects."""
        previous = self._reports.get(load.sender)
        if not load.suspicions:
            self.drop_reports([load.sender])
            return
        self._reports[load.sender] = _Report(
            received_s=now_s, suspicions=load.suspicions
        )
        if previous is None or previous.suspicions != load.suspicions:
            self.version += 1

    def drop_reports(self, senders: collections.abc.Iterable[str]) -> None:
        """Drop what some instances suspect."""
        for sender in senders:
            if self._reports.pop(sender, None) is not None:
                self.version += 1

    def set_summary(self, summary: messages.DomainLoad, now_s: float) -> None:
        """Store what the instances of another failure domain suspect."""
        domain = summary.failure_domain
        suspicions = DomainSuspicions(
            counts=dict(zip(summary.suspect_keys, summary.suspect_counts)),
            sound_keys=set(summary.sound_keys),
        )
        self._domains_received_s[domain] = now_s
        if suspicions != self._domains.get(domain):
            self._domains[domain] = suspicions
            self.version += 1

    def expire(self, now_s: float) -> None:
        """Drop what is older than the TTL of load reports."""
        if not self._reports and not self._domains:
            return
        expired_before_s = now_s - const.PEER_LOAD_TTL_S
        self.drop_reports(
            [
                sender
                for sender, report in self._reports.items()
                if report.received_s < expired_before_s
            ]
        )
        for domain, received_s in list(self._domains_received_s.items()):
            if received_s < expired_before_s:
                del self._domains_received_s[domain]
                if self._domains.pop(domain, None) is not None:
                    self.version += 1

    def list_counting(
        self, suspicions: collections.abc.Iterable[targets.Suspicion]
    ) -> collections.abc.Iterator[Run]:
        """Yield the runs that an instance suspects with a word that counts.

        :param suspicions: all that the instance reports
        """
        suspected = {
            (suspicion.target, suspicion.born_ms)
            for suspicion in suspicions
            if suspicion.failures
        } & self._runs.keys()
        used = collections.Counter(
            key for run in suspected for key in _list_keys(self._runs[run])
        )
        for run in suspected:
            service, domain = _list_keys(self._runs[run])
            service_limit = get_share(
                self._sizes[service], const.MAX_SUSPECTED_SHARE
            )
            domain_limit = get_share(
                self._sizes[domain], const.MAX_SUSPECTED_DOMAIN_SHARE
            )
            # A single failing target is no sign of being cut off.
            if used[service] <= max(1, service_limit) and (
                used[domain] <= max(1, domain_limit)
            ):
                yield run

    def count_words(self) -> collections.Counter[Run]:
        """Return how many other instances suspect each run.

        Only reports that count are included, see the module.
        """
        words = collections.Counter(
            run
            for report in self._reports.values()
            for run in self.list_counting(report.suspicions)
        )
        if any(domain.counts for domain in self._domains.values()):
            for run in self._runs:
                key = compute_run_key(run)
                for domain in self._domains.values():
                    if key in domain.counts:
                        words[run] += domain.counts[key]
        return words

    def list_sound(self) -> set[Run]:
        """Return the runs that others saw complete a response lately."""
        sound = {
            (suspicion.target, suspicion.born_ms)
            for report in self._reports.values()
            for suspicion in report.suspicions
            if not suspicion.failures
        }
        sound_keys = {
            key
            for domain in self._domains.values()
            for key in domain.sound_keys
        }
        if sound_keys:
            sound.update(
                run for run in self._runs if compute_run_key(run) in sound_keys
            )
        return sound

    def get_oldest_age_s(self, now_s: float) -> float:
        """Return the age of the oldest suspicions, 0 without any."""
        received = [report.received_s for report in self._reports.values()]
        received.extend(self._domains_received_s.values())
        return now_s - min(received, default=now_s)

    def sum_domain(self, own: targets.Load) -> DomainSuspicions:
        """Sum up what the instances of the own failure domain suspect.

        :param own: the own report
        """
        lists = [report.suspicions for report in self._reports.values()]
        lists.append(own.suspicions)
        counts = collections.Counter(
            compute_run_key(run)
            for suspicions in lists
            for run in self.list_counting(suspicions)
        )
        return DomainSuspicions(
            counts=dict(counts.most_common(const.MAX_SUSPICIONS)),
            sound_keys={
                compute_run_key((suspicion.target, suspicion.born_ms))
                for suspicions in lists
                for suspicion in suspicions
                if not suspicion.failures
            },
        )


def get_share(count: int, share: float) -> int:
    """Return the highest whole number up to a share of a count."""
    # The addend makes up for a product rounded to just below a whole number.
    return int(count * share + 1e-9)


def _list_keys(
    target: targets.Target,
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the service, and the service and domain, of a target."""
    return (target.service,), (target.service, target.failure_domain)
