"""Sum up the load of a failure domain for the others, and read such sums.

Counts are absolute, never differences, so a lost summary is made up for by the
next one that lists the same target, and a repeated one changes nothing.
"""

import collections.abc
import dataclasses
import functools
import zlib

from bambooring.loads import const
from bambooring.loads import messages
from bambooring.loads import peers
from bambooring_core import bounds

# The running requests of a target and their tokens.
Load = tuple[int, int]


@functools.lru_cache(maxsize=const.MAX_CACHED_KEYS)
def compute_target_key(target_id: str) -> int:
    """Return the number that stands for a target in summaries.

    Two targets with the same number would count each other's load as theirs.
    """
    return zlib.crc32(target_id.encode())


class SummaryWriter:
    """Write the summaries of one failure domain."""

    __slots__ = (
        '_changed_at',
        '_failure_domain',
        '_first_full_left',
        '_incarnation',
        '_loads',
        '_sender',
        '_sequence',
    )

    def __init__(
        self, failure_domain: str, sender: str, incarnation: int
    ) -> None:
        self._failure_domain = failure_domain
        self._sender = sender
        self._incarnation = incarnation
        self._sequence = 0
        self._first_full_left = const.FIRST_FULL_SUMMARIES
        self._loads: dict[int, Load] = {}
        # By key: the sequence number of the summary in which it last changed.
        self._changed_at: dict[int, int] = {}

    def restart(self) -> None:
        """Begin with full summaries, after another instance was the relay."""
        self._first_full_left = const.FIRST_FULL_SUMMARIES
        self._loads.clear()
        self._changed_at.clear()

    def write(
        self,
        loads: dict[int, Load],
        services: list[messages.ServiceTotal],
        age_s: float,
    ) -> messages.DomainLoad:
        """Return the next summary.

        :param loads: the load of each target that has any, by key
        :param services: the totals of the services
        :param age_s: the age of the oldest report summed up, in seconds
        """
        self._sequence += 1
        self._record_changes(loads)
        is_full = (
            self._first_full_left > 0
            or self._sequence % const.FULL_SUMMARY_EVERY == 0
        )
        self._first_full_left = max(0, self._first_full_left - 1)
        keys = list(loads if is_full else self._changed_at)
        rows = [loads.get(key, (0, 0)) for key in keys]
        return messages.DomainLoad(
            failure_domain=self._failure_domain,
            sender=self._sender,
            incarnation=self._incarnation,
            sequence=self._sequence,
            is_full=is_full,
            age_ms=round(age_s * 1000),
            target_keys=keys,
            running=[running for running, _ in rows],
            tokens=[
                bounds.clip_count(tokens, bounds.INTEGER_BITS)
                for _, tokens in rows
            ],
            services=services,
        )

    def _record_changes(self, loads: dict[int, Load]) -> None:
        for key in loads.keys() | self._loads.keys():
            if loads.get(key) != self._loads.get(key):
                self._changed_at[key] = self._sequence
        self._loads = loads
        oldest = self._sequence - const.CHANGE_REPEATS
        self._changed_at = {
            key: sequence
            for key, sequence in self._changed_at.items()
            if sequence > oldest
        }


@dataclasses.dataclass(slots=True, kw_only=True)
class _DomainState:
    """The last known load of another failure domain.

    ``made_s`` is the time in seconds at which the oldest report in it was
    made, ``received_s`` that of the last summary's arrival.
    """

    sender: str
    incarnation: int
    sequence: int
    received_s: float
    made_s: float
    loads: dict[int, Load]
    services: dict[str, messages.ServiceTotal]


class RemoteLoads:
    """Keep the load of the other failure domains and the totals by target.

    The totals are updated with each summary rather than computed on each use.
    """

    __slots__ = ('_domains', '_totals')

    def __init__(self) -> None:
        self._domains: dict[str, _DomainState] = {}
        self._totals: dict[int, peers.RunningLoad] = {}

    def apply(self, summary: messages.DomainLoad, now_s: float) -> bool:
        """Take over a summary.

        One relay of a domain is followed at a time. Another one's summary is
        taken over only if it is full, because the rest of its counts is
        unknown.

        :returns: False if the summary is not newer than what is known
        """
        domain = self._domains.get(summary.failure_domain)
        if domain is None:
            domain = self._make_state(summary)
            self._domains[summary.failure_domain] = domain
        elif not _is_successor(domain, summary):
            return False
        rows = zip(summary.target_keys, zip(summary.running, summary.tokens))
        changes = dict(rows)
        if summary.is_full:
            for key in domain.loads.keys() - changes.keys():
                changes[key] = (0, 0)
        for key, load in changes.items():
            self._set_load(domain, key, load)
        domain.sender = summary.sender
        domain.incarnation = summary.incarnation
        domain.sequence = summary.sequence
        domain.received_s = now_s
        domain.made_s = now_s - summary.age_ms / 1000
        domain.services = {entry.service: entry for entry in summary.services}
        return True

    def _make_state(self, summary: messages.DomainLoad) -> _DomainState:
        return _DomainState(
            sender=summary.sender,
            incarnation=summary.incarnation,
            sequence=summary.sequence,
            received_s=0.0,
            made_s=0.0,
            loads={},
            services={},
        )

    def _set_load(self, domain: _DomainState, key: int, load: Load) -> None:
        old_running, old_tokens = domain.loads.get(key, (0, 0))
        running, tokens = load
        total = self._totals.setdefault(key, peers.RunningLoad())
        total.running += running - old_running
        total.tokens += tokens - old_tokens
        if not total.running and not total.tokens:
            del self._totals[key]
        if running or tokens:
            domain.loads[key] = load
        else:
            domain.loads.pop(key, None)

    def expire(self, now_s: float) -> None:
        """Drop the domains that were not heard of for the TTL."""
        for name, domain in list(self._domains.items()):
            if now_s - domain.received_s > const.PEER_LOAD_TTL_S:
                for key in list(domain.loads):
                    self._set_load(domain, key, (0, 0))
                del self._domains[name]

    def get_load(self, key: int) -> peers.RunningLoad | None:
        """Return what the other domains have running at a target."""
        return self._totals.get(key)

    def get_relay(self, failure_domain: str, now_s: float) -> str:
        """Return the address of a domain's relay, '' if it is not known."""
        domain = self._domains.get(failure_domain)
        if domain is None:
            return ''
        if now_s - domain.received_s > const.RELAY_TIMEOUT_S:
            return ''
        return domain.sender

    def get_oldest_age_s(self, now_s: float) -> float:
        """Return the age of the oldest report in use, 0 without any."""
        ages = (now_s - domain.made_s for domain in self._domains.values())
        return max(ages, default=0.0)

    @property
    def has_domains(self) -> bool:
        """Return whether the load of any other domain is known."""
        return bool(self._domains)

    def list_service_totals(
        self, service: str
    ) -> collections.abc.Iterator[messages.ServiceTotal]:
        """Yield what each other domain reports about a service."""
        for domain in self._domains.values():
            total = domain.services.get(service)
            if total is not None:
                yield total


def _is_successor(domain: _DomainState, summary: messages.DomainLoad) -> bool:
    """Return whether a summary may replace what is known of its domain."""
    if summary.sender != domain.sender:
        return summary.is_full
    known = (domain.incarnation, domain.sequence)
    return (summary.incarnation, summary.sequence) > known
