"""Spread requests evenly over a service's targets.

The load of a target is what all entry instances have running there: this
instance counts its own, the others tell theirs by datagrams. Ranks of a
model group advance in step, so one rank with more requests than the others
slows all of them; the count of running requests goes first, the tokens
they stand for decide between equals.
"""

import collections.abc
import dataclasses
import random

from bambooring.balancing import const
from bambooring.balancing import groups as groups_module
from bambooring.balancing import limit as limit_module
from bambooring.balancing import peers as peers_module
from bambooring.targets import messages as targets


@dataclasses.dataclass(slots=True, kw_only=True)
class _TargetHealth:
    """Hold what this instance has seen of one target."""

    consecutive_failures: int = 0
    consecutive_errors: int = 0
    ejected_until_s: float = 0.0
    busy_until_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Choice:
    """Name the chosen target and what was known of it."""

    target: targets.Target
    running: int
    candidate_count: int
    oldest_report_age_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class ServiceCapacity:
    """Sum up a service: what it can take and what it has."""

    targets: int
    usable_targets: int
    slots: int
    running: int
    waiting_elsewhere: int


class Balancer:
    """Hold the load of every target as one instance knows it."""

    def __init__(self, failure_domain: str, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._targets_by_service: dict[str, dict[str, targets.Target]] = {}
        self._own_loads: dict[str, peers_module.RunningLoad] = {}
        self._health: dict[str, _TargetHealth] = {}
        self._peer_loads = peers_module.PeerLoads()
        self._limits: dict[str, limit_module.ConcurrencyLimit] = {}
        self._consecutive_refusals: dict[str, int] = {}
        self._backoff_until_s: dict[str, float] = {}
        self._groups = groups_module.GroupTracker()
        self._mean_durations_s: dict[str, float] = {}
        self._report_sequence = 0

    def set_targets(
        self, usable: collections.abc.Iterable[targets.Target]
    ) -> None:
        """Replace the targets that may get new work."""
        by_service: dict[str, dict[str, targets.Target]] = {}
        for target in usable:
            by_service.setdefault(target.service, {})[target.id] = target
        self._targets_by_service = by_service
        self._groups.update(by_service)
        known = {id for held in by_service.values() for id in held}
        for id in self._health.keys() - known:
            del self._health[id]

    def choose(
        self,
        service: str,
        now_s: float,
        excluded: collections.abc.Container[str] = (),
    ) -> Choice | None:
        """Return the target with the least load, or None if all are full.

        :param service: the service's name
        :param now_s: the current time in seconds
        :param excluded: ids of targets that already had the request
        """
        self._peer_loads.expire_reports(now_s)
        self._groups.expire_slowdowns(now_s)
        if self._is_backing_off(service, now_s):
            return None
        if not self._groups.may_send_request(service, now_s):
            return None
        candidates = self._list_candidates(service, now_s, excluded)
        scored_candidates = [
            (self._score(target), target)
            for target in candidates
            if self._has_room(target)
        ]
        if not scored_candidates:
            return None
        _, best = min(scored_candidates, key=lambda pair: pair[0])
        self._groups.record_request(service, now_s)
        return Choice(
            target=best,
            running=self.count_running(best.id),
            candidate_count=len(candidates),
            oldest_report_age_s=self._peer_loads.get_oldest_report_age_s(
                now_s
            ),
        )

    def _list_candidates(
        self,
        service: str,
        now_s: float,
        excluded: collections.abc.Container[str],
    ) -> list[targets.Target]:
        """Return the sound targets, or all if none is sound.

        Passing over a whole service would serve nobody, and what made every
        target fail may lie on this instance's side.
        """
        known = [
            target
            for target in self._targets_by_service.get(service, {}).values()
            if target.id not in excluded
            and not self._is_busy(target.id, now_s)
        ]
        healthy = [
            candidate
            for candidate in known
            if self._is_healthy(candidate.id, now_s)
        ]
        return healthy or known

    def _score(self, target: targets.Target) -> tuple[float, int, bool, float]:
        running = self.count_running(target.id) + 1
        slots = target.slots or const.DEFAULT_SLOTS_PER_TARGET
        return (
            running * self._groups.get_slowdown(target) / slots,
            self._count_tokens(target.id),
            target.failure_domain != self._failure_domain,
            self._rng.random(),
        )

    def _has_room(self, target: targets.Target) -> bool:
        max_running: float = const.EXTRA_REQUESTS_PER_TARGET + (
            target.slots or const.DEFAULT_SLOTS_PER_TARGET
        )
        limit = self._limits.get(target.service)
        if limit is not None:
            max_running = min(max_running, limit.limit)
        running = self.count_running(target.id) + 1
        return running * self._groups.get_slowdown(target) <= max_running

    def update_slowdowns(
        self, paces: targets.GroupPaces, now_s: float
    ) -> bool:
        """Take how long the ranks of a group take.

        :returns: whether that has changed
        """
        return self._groups.update_slowdowns(paces, now_s)

    def record_event_gap(
        self, service: str, gap_s: float, accepted_s: float
    ) -> None:
        """Take note of a pause between two events of a stream."""
        limit = self._limits.get(service)
        if limit is None:
            limit = limit_module.ConcurrencyLimit()
            self._limits[service] = limit
        limit.add_gap(gap_s, accepted_s)

    def adjust_limits(self) -> dict[str, float]:
        """Adjust the limits of services with streams.

        :returns: the limits that are in force, by service
        """
        for service, limit in self._limits.items():
            limit.close_interval()
            gaps_s = [
                service_load.gap_ms / 1000
                for service_load in self._peer_loads.list_service_loads(
                    service
                )
            ]
            gaps_s.append(limit.mean_gap_s)
            known = self._targets_by_service.get(service, {}).values()
            slots = max((item.slots for item in known), default=0)
            limit.adjust([item for item in gaps_s if item], slots)
        return {
            service: limit.limit
            for service, limit in self._limits.items()
            if limit.limit != float('inf')
        }

    def _is_healthy(self, id: str, now_s: float) -> bool:
        health = self._health.get(id)
        return health is None or health.ejected_until_s <= now_s

    def _is_busy(self, id: str, now_s: float) -> bool:
        health = self._health.get(id)
        return health is not None and health.busy_until_s > now_s

    def count_running(self, id: str) -> int:
        """Return how many requests all instances have at a target."""
        own = self._own_loads.get(id)
        count = self._peer_loads.get_load(id).running
        return count + own.running if own else count

    def _count_tokens(self, id: str) -> int:
        own = self._own_loads.get(id)
        count = self._peer_loads.get_load(id).tokens
        return count + own.tokens if own else count

    def get_capacity(self, service: str, now_s: float) -> ServiceCapacity:
        """Sum up a service."""
        known = self._targets_by_service.get(service, {})
        usable = [
            target
            for target in known.values()
            if self._is_healthy(target.id, now_s)
        ]
        return ServiceCapacity(
            targets=len(known),
            usable_targets=len(usable),
            slots=sum(
                usable_target.slots or const.DEFAULT_SLOTS_PER_TARGET
                for usable_target in usable
            ),
            running=sum(
                self.count_running(usable_target.id)
                for usable_target in usable
            ),
            waiting_elsewhere=sum(
                service_load.waiting
                for service_load in self._peer_loads.list_service_loads(
                    service
                )
            ),
        )

    def add_request(self, id: str, tokens: int) -> None:
        """Take note that a request is sent to a target."""
        load = self._own_loads.setdefault(id, peers_module.RunningLoad())
        load.running += 1
        load.tokens += tokens

    def remove_request(self, id: str, tokens: int) -> None:
        """Take note that a target no longer has a request of ours."""
        load = self._own_loads[id]
        load.running -= 1
        load.tokens -= tokens
        if not load.running:
            del self._own_loads[id]

    def record_success(self, id: str, service: str, duration_s: float) -> None:
        """Take note of a whole answer.

        :param id: the target
        :param service: its service
        :param duration_s: how long the target had the request, in seconds
        """
        self._health.pop(id, None)
        mean_s = self._mean_durations_s.get(service, duration_s)
        mean_s += const.DURATION_EWMA_WEIGHT * (duration_s - mean_s)
        self._mean_durations_s[service] = mean_s

    def get_mean_duration_s(self, service: str) -> float:
        """Return the mean time that a request runs, in seconds."""
        return self._mean_durations_s.get(service, const.DEFAULT_DURATION_S)

    def is_unavailable(self, service: str, now_s: float) -> bool:
        """Tell whether a service as a whole takes nothing for now."""
        return self._is_backing_off(service, now_s) or self.is_group_broken(
            service
        )

    def is_group_broken(self, service: str) -> bool:
        """Tell whether a service's group is known to run nothing."""
        return self._groups.is_broken(service)

    def _is_backing_off(self, service: str, now_s: float) -> bool:
        return self._backoff_until_s.get(service, 0.0) > now_s

    def record_response_started(self, service: str) -> None:
        """Take note that a target has begun to answer."""
        self._consecutive_refusals.pop(service, None)
        self._groups.record_response_started(service)

    def record_refusal(self, id: str, service: str, now_s: float) -> None:
        """Take note that a target refused a request.

        :param id: the target
        :param service: its service, which pauses after some refusals
        :param now_s: the current time in seconds
        """
        count = self._consecutive_refusals.get(service, 0) + 1
        self._consecutive_refusals[service] = count
        if count >= const.CONSECUTIVE_REFUSALS_THRESHOLD:
            backoff_s = min(
                const.SERVICE_BACKOFF_S, self.get_mean_duration_s(service)
            )
            self._backoff_until_s[service] = now_s + backoff_s
        health = self._health.setdefault(id, _TargetHealth())
        health.busy_until_s = now_s + const.BUSY_TARGET_BACKOFF_S

    def record_server_error(self, id: str) -> bool:
        """Take note of a target's own failure.

        :param id: the target
        :returns: whether there were so many in a row that it is at fault
        """
        health = self._health.setdefault(id, _TargetHealth())
        health.consecutive_errors += 1
        return health.consecutive_errors >= const.CONSECUTIVE_ERRORS_THRESHOLD

    def record_failure(self, id: str, now_s: float) -> float:
        """Pass over a target that failed.

        :param id: the target
        :param now_s: the current time in seconds
        :returns: for how long, in seconds
        """
        health = self._health.setdefault(id, _TargetHealth())
        health.consecutive_failures += 1
        backoff_s = min(
            const.EJECTION_MIN_S * 2 ** (health.consecutive_failures - 1),
            const.EJECTION_MAX_S,
        )
        health.ejected_until_s = now_s + backoff_s
        return backoff_s

    def add_peer_report(self, load: targets.Load, now_s: float) -> None:
        """Take another instance's report, unless a newer one came first."""
        self._peer_loads.add_report(load, now_s)

    @property
    def has_running_requests(self) -> bool:
        """Tell whether this instance has anything running."""
        return bool(self._own_loads)

    def _get_gap_ms(self, service: str) -> int:
        limit = self._limits.get(service)
        return round(limit.mean_gap_s * 1000) if limit else 0

    def make_load_report(
        self, sender: str, incarnation: int, waiting: dict[str, int]
    ) -> targets.Load:
        """Return the report of this instance.

        :param sender: its name
        :param incarnation: the number of its run
        :param waiting: how many requests wait here by service
        """
        self._report_sequence += 1
        return targets.Load(
            sender=sender,
            incarnation=incarnation,
            sequence=self._report_sequence,
            targets=[
                targets.TargetLoad(
                    target=id, running=load.running, tokens=load.tokens
                )
                for id, load in self._own_loads.items()
            ],
            services=[
                targets.ServiceLoad(
                    service=name,
                    waiting=waiting.get(name, 0),
                    gap_ms=self._get_gap_ms(name),
                )
                for name in waiting.keys() | self._limits.keys()
            ],
        )
