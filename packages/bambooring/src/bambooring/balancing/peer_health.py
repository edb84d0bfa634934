"""Decide by what other instances report which targets get no requests here.

Each entry instance ejects the targets that it has seen fail itself
(``bambooring.balancing.health``) and reports them to the others as suspected.
A target is ejected here by others' word if at least
``const.MIN_SUSPECTING_INSTANCES`` others suspect it, so that one broken
instance ejects nothing. Others' word ejects no more than a third of a
service's targets, and none in a failure domain of which more than half are
suspected: then the path to the domain is the likelier cause, and each instance
goes by what it sees itself.

While a target is ejected by others' word, two instances probe it with one
request at a time: one in the target's own failure domain, which reaches it
whatever is cut off, and one elsewhere. All instances compute the same two by
rendezvous hashing. A complete response to a request that was sent after the
suspicion was known withdraws it, everywhere: a withdrawal is reported like a
suspicion, and for ``const.SOUND_RETENTION_S`` others' word against the target
counts for nothing.

A target that fails requests at once has no load, so it would be the first
choice of all instances when it returns. Its score is therefore raised by a
penalty that decays from the end of its ejection on.
"""

import collections
import collections.abc
import dataclasses
import hashlib

from bambooring.balancing import const
from bambooring.balancing import runs as runs_module
from bambooring.loads import const as loads_const
from bambooring.loads import suspicions as suspicions_module
from bambooring.targets import messages as targets


@dataclasses.dataclass(slots=True, kw_only=True)
class _OwnSuspicion:
    """What this instance has seen of a run since its last good response."""

    failures: int = 0
    refusals: int = 0
    last_s: float = 0.0

    def is_reported(self) -> bool:
        """Return whether others are told of it."""
        return (
            self.failures > 0 or self.refusals >= const.IDLE_REFUSALS_THRESHOLD
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class HealthChange:
    """A run of a target that was ejected by others' word, or has returned.

    ``words`` is the number of other instances that suspect it,
    ``report_age_s`` the age of the oldest report of suspicions.
    """

    target_id: str
    born_ms: int
    is_ejected: bool
    words: int
    is_prober: bool
    report_age_s: float


class PeerHealth:
    """Keep what this instance and others suspect, and the ejections by it.

    ``refresh`` sets the time that the other methods go by, and is to be called
    before each choice.
    """

    def __init__(
        self,
        own_address: str,
        failure_domain: str,
        table: suspicions_module.SuspicionTable,
    ) -> None:
        self._own_address = own_address
        self._table = table
        # The version of the table that was decided by, -1 to decide anew.
        self._table_version = -1
        self._now_s = 0.0
        self._runs: dict[runs_module.Run, targets.Target] = {}
        self._domains_by_address = {own_address: failure_domain}
        self._own: dict[runs_module.Run, _OwnSuspicion] = {}
        # Until when a withdrawal by this instance is reported.
        self._withdrawn_until_s: dict[runs_module.Run, float] = {}
        # Until when others' word against a run counts for nothing.
        self._sound_until_s: dict[runs_module.Run, float] = {}
        # How many other instances suspect each run.
        self._words: collections.Counter[runs_module.Run] = (
            collections.Counter()
        )
        # Since when any other instance has suspected a run.
        self._suspected_since_s: dict[runs_module.Run, float] = {}
        # Since when a run has been ejected by others' word.
        self._ejected_since_s: dict[runs_module.Run, float] = {}
        # Whether this instance is a prober of a run; cached.
        self._probers: dict[runs_module.Run, bool] = {}
        # From when on the penalty of a run decays.
        self._returned_s: dict[runs_module.Run, float] = {}
        self._changes: list[HealthChange] = []
        # Targets that are ejected or have a penalty; the others need no check.
        self.affected_ids: frozenset[str] = frozenset()

    def set_targets(
        self, by_service: suspicions_module.TargetsByService
    ) -> None:
        """Replace the targets that take new work."""
        self._table.set_targets(by_service)
        self._runs = {
            runs_module.get_run(target): target
            for service_targets in by_service.values()
            for target in service_targets.values()
        }
        for records in (
            self._own,
            self._withdrawn_until_s,
            self._sound_until_s,
            self._suspected_since_s,
            self._ejected_since_s,
            self._returned_s,
            self._probers,
        ):
            for run in records.keys() - self._runs.keys():
                del records[run]

    def set_instances(
        self, domains_by_address: collections.abc.Mapping[str, str]
    ) -> None:
        """Replace the other entry instances.

        :param domains_by_address: the failure domain of each link address
        """
        own_domain = self._domains_by_address[self._own_address]
        self._domains_by_address = {
            **domains_by_address,
            self._own_address: own_domain,
        }
        self._probers.clear()

    def forget_service(self, service: str) -> None:
        """Drop what is suspected of a service whose group has reopened.

        Requests that failed while the group was broken say nothing about its
        ranks.
        """
        for run, target in self._runs.items():
            if target.service == service:
                self._own.pop(run, None)
                self._mark_sound(run)

    def record_failure(
        self, target: targets.Target, ejection_s: float, now_s: float
    ) -> None:
        """Record that a target failed a request of this instance.

        :param target: the target
        :param ejection_s: for how long it is ejected here, in seconds
        :param now_s: the current time in seconds
        """
        run = runs_module.get_run(target)
        suspicion = self._own.setdefault(run, _OwnSuspicion())
        suspicion.failures += 1
        suspicion.last_s = now_s
        self._withdrawn_until_s.pop(run, None)
        self._returned_s[run] = now_s + ejection_s

    def record_refusal(self, target: targets.Target, now_s: float) -> None:
        """Record that a target refused a request though it had room."""
        run = runs_module.get_run(target)
        suspicion = self._own.setdefault(run, _OwnSuspicion())
        suspicion.refusals += 1
        suspicion.last_s = now_s

    def record_success(
        self, target: targets.Target, sent_s: float, now_s: float
    ) -> None:
        """Record a complete response; one to a later request is a withdrawal.

        A failing target may still complete requests that it began before.

        :param target: the target
        :param sent_s: when the request was sent, in seconds
        :param now_s: the current time in seconds
        """
        run = runs_module.get_run(target)
        own = self._own.get(run)
        if own is not None and sent_s >= own.last_s:
            del self._own[run]
        since_s = self._suspected_since_s.get(run)
        if since_s is not None and sent_s >= since_s:
            self._withdrawn_until_s[run] = now_s + const.SOUND_RETENTION_S
            self._mark_sound(run, now_s)

    def _mark_sound(
        self, run: runs_module.Run, now_s: float | None = None
    ) -> None:
        known_s = self._now_s if now_s is None else now_s
        self._sound_until_s[run] = known_s + const.SOUND_RETENTION_S
        self._table_version = -1

    def refresh(self, now_s: float) -> None:
        """Decide anew if anything has changed.

        :param now_s: the current time in seconds
        """
        self._now_s = now_s
        self._expire()
        if self._table_version != self._table.version:
            self._apply_news()
        if self._returned_s or self.affected_ids:
            self.affected_ids = frozenset(run[0] for run in self._returned_s)

    def _apply_news(self) -> None:
        """Decide anew by what others report now."""
        now_s = self._now_s
        self._table_version = self._table.version
        for run in self._table.list_sound() & self._runs.keys():
            own = self._own.get(run)
            # A failure that this instance saw lately may be newer than the
            # withdrawal.
            if own is None or own.last_s < now_s - const.EJECTION_MIN_S:
                self._own.pop(run, None)
            self._sound_until_s[run] = now_s + const.SOUND_RETENTION_S
        self._words = self._table.count_words()
        self._suspected_since_s = {
            run: self._suspected_since_s.get(run, now_s) for run in self._words
        }
        self._set_ejected(self._decide())

    def _expire(self) -> None:
        for run, suspicion in list(self._own.items()):
            if suspicion.last_s < self._now_s - const.SUSPICION_TTL_S:
                del self._own[run]
        for records in (self._withdrawn_until_s, self._sound_until_s):
            for run, until_s in list(records.items()):
                if until_s < self._now_s:
                    del records[run]
                    self._table_version = -1
        end_s = self._now_s - const.RETURN_PENALTY_END_S
        for run, returned_s in list(self._returned_s.items()):
            if returned_s < end_s and run not in self._ejected_since_s:
                del self._returned_s[run]

    def _decide(self) -> set[runs_module.Run]:
        """Return the runs that are ejected by others' word."""
        suspected_by_service: dict[str, list[runs_module.Run]] = {}
        for run, words in self._words.items():
            if (
                words >= const.MIN_SUSPECTING_INSTANCES
                and run not in self._sound_until_s
            ):
                suspected_by_service.setdefault(
                    self._runs[run].service, []
                ).append(run)
        return {
            run
            for service, suspected in suspected_by_service.items()
            for run in self._limit_ejections(service, suspected)
        }

    def _limit_ejections(
        self, service: str, suspected: list[runs_module.Run]
    ) -> list[runs_module.Run]:
        """Return which suspected runs of a service are ejected."""
        service_targets = [
            target
            for target in self._runs.values()
            if target.service == service
        ]
        sizes = collections.Counter(
            target.failure_domain for target in service_targets
        )
        counts = collections.Counter(
            self._runs[run].failure_domain for run in suspected
        )
        allowed = [
            run
            for run in suspected
            if counts[domain := self._runs[run].failure_domain]
            <= suspicions_module.get_share(
                sizes[domain], loads_const.MAX_SUSPECTED_DOMAIN_SHARE
            )
        ]
        allowed.sort(key=lambda run: (-self._words[run], run))
        return allowed[
            : suspicions_module.get_share(
                len(service_targets), loads_const.MAX_SUSPECTED_SHARE
            )
        ]

    def _set_ejected(self, ejected: set[runs_module.Run]) -> None:
        for run in sorted(ejected - self._ejected_since_s.keys()):
            self._ejected_since_s[run] = self._now_s
            self._returned_s[run] = max(
                self._returned_s.get(run, 0.0),
                self._now_s + const.EJECTION_MIN_S,
            )
            self._add_change(run, is_ejected=True)
        for run in sorted(self._ejected_since_s.keys() - ejected):
            del self._ejected_since_s[run]
            self._returned_s[run] = self._now_s
            self._add_change(run, is_ejected=False)

    def _add_change(self, run: runs_module.Run, *, is_ejected: bool) -> None:
        if len(self._changes) >= const.MAX_HEALTH_CHANGES:
            return
        self._changes.append(
            HealthChange(
                target_id=run[0],
                born_ms=run[1],
                is_ejected=is_ejected,
                words=self._words[run],
                is_prober=self._is_prober(run),
                report_age_s=self._table.get_oldest_age_s(self._now_s),
            )
        )

    def take_changes(self) -> list[HealthChange]:
        """Return the ejections and returns since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _is_prober(self, run: runs_module.Run) -> bool:
        if run not in self._probers:
            domain = self._runs[run].failure_domain
            near = [
                address
                for address, other in self._domains_by_address.items()
                if other == domain
            ]
            others = self._domains_by_address.keys() - near
            self._probers[run] = self._own_address in (
                _choose_instance(run, near),
                _choose_instance(run, others),
            )
        return self._probers[run]

    def is_ejected(self, target: targets.Target, *, is_used: bool) -> bool:
        """Return whether a target gets no requests because of others' word.

        :param target: the target
        :param is_used: whether this instance has a request there, so that no
            other one may probe it
        """
        run = runs_module.get_run(target)
        since_s = self._ejected_since_s.get(run)
        if since_s is None:
            return False
        return (
            is_used
            or self._now_s < since_s + const.EJECTION_MIN_S
            or not self._is_prober(run)
        )

    def is_suspected(self, target: targets.Target) -> bool:
        """Return whether this or another instance suspects a target."""
        run = runs_module.get_run(target)
        own = self._own.get(run)
        if own is not None and own.is_reported():
            return True
        return run in self._words and run not in self._sound_until_s

    def get_penalty(self, target: targets.Target) -> float:
        """Return what is added to a target's load per slot after an ejection.

        It is halved every ``const.RETURN_PENALTY_HALF_LIFE_S``.
        """
        returned_s = self._returned_s.get(runs_module.get_run(target))
        if returned_s is None:
            return 0.0
        age_s = max(0.0, self._now_s - returned_s)
        return const.RETURN_PENALTY * 0.5 ** (
            age_s / const.RETURN_PENALTY_HALF_LIFE_S
        )

    @property
    def has_news(self) -> bool:
        """Return whether the load report has any suspicion or withdrawal."""
        return bool(self._own or self._withdrawn_until_s)

    def list_suspicions(self) -> list[targets.Suspicion]:
        """Return what this instance tells others, newest first.

        What it suspects of too many targets at once is withheld: it doesn't
        count at others.
        """
        suspicions = [
            targets.Suspicion(
                target=run[0],
                born_ms=run[1],
                failures=suspicion.failures or suspicion.refusals,
                is_refusing=not suspicion.failures,
            )
            for run, suspicion in sorted(
                self._own.items(), key=lambda item: -item[1].last_s
            )
            if suspicion.is_reported()
        ]
        counting = set(self._table.list_counting(suspicions))
        reported = [
            suspicion
            for suspicion in suspicions
            if (suspicion.target, suspicion.born_ms) in counting
        ]
        withdrawn = [
            targets.Suspicion(target=run[0], born_ms=run[1], failures=0)
            for run in self._withdrawn_until_s
        ]
        return (withdrawn + reported)[: loads_const.MAX_SUSPICIONS]


def _choose_instance(
    run: runs_module.Run, addresses: collections.abc.Iterable[str]
) -> str | None:
    """Return the instance that probes a run, by rendezvous hashing."""
    target_id, born_ms = run
    return max(
        addresses,
        key=lambda address: hashlib.blake2b(
            f'{target_id} {born_ms} {address}'.encode(), digest_size=8
        ).digest(),
        default=None,
    )
