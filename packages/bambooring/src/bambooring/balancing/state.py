"""Spread requests evenly over a service's targets.

The load of a target is the number of requests that all entry instances have
running there: this instance counts its own, the others report theirs in
datagrams (``bambooring.loads``). The ranks of a model group run in
lock-step, so a rank with more
requests than the others slows all of them down. Targets are therefore
compared by running requests per slot first. A rank reads prompts one after the
other, a part in each pass, so ties are broken by the tokens that a target has
still to read: they delay the first event of whatever comes behind them.
"""

import collections.abc
import dataclasses
import math
import random

from bambooring.balancing import const
from bambooring.balancing import groups as groups_module
from bambooring.balancing import health as health_module
from bambooring.balancing import leaving as leaving_module
from bambooring.balancing import limit as limit_module
from bambooring.balancing import rests as rests_module
from bambooring.balancing import runs as runs_module
from bambooring.loads import peers as peers_module
from bambooring.loads import state as loads_state
from bambooring.targets import messages as targets
from bambooring_core import bounds


@dataclasses.dataclass(slots=True, kw_only=True)
class Choice:
    """A chosen target and the load that the choice was based on.

    ``running`` is the number of requests at the target, without the one it
    is chosen for. ``candidate_count`` is the number of targets that were
    compared. ``oldest_report_age_s`` is the age of the oldest load report
    of another instance, in seconds.
    """

    target: targets.Target
    running: int
    candidate_count: int
    oldest_report_age_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class ServiceCapacity:
    """The capacity of a service and how much of it is used.

    ``target_count`` counts all targets that take new work,
    ``usable_target_count`` those of them that aren't ejected and don't rest.
    ``slots`` and ``running`` are totals over the usable targets.
    ``waiting_elsewhere`` is the number of requests that wait for the service
    at the other entry instances.
    """

    target_count: int
    usable_target_count: int
    slots: int
    running: int
    waiting_elsewhere: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Room:
    """What the usable targets of a service may run and do run.

    ``slots`` is how many requests they may run at once, ``running`` how many
    they run. ``free`` is how many slots aren't taken, ``near_free`` how many
    of them are in the instance's own failure domain. ``has_near`` is true if
    any of the targets is there.
    """

    free: int
    near_free: int
    has_near: bool
    slots: float
    running: int


class Balancer:
    """Choose targets by their load and health, as one instance knows them."""

    def __init__(self, failure_domain: str, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._targets_by_service: dict[str, dict[str, targets.Target]] = {}
        self._own_loads: dict[str, peers_module.RunningLoad] = {}
        self._health = health_module.HealthTracker()
        self.loads = loads_state.ClusterLoads()
        self._limits_by_service: dict[str, limit_module.ConcurrencyLimit] = {}
        self._consecutive_refusals: dict[str, int] = {}
        self._backoff_until_s: dict[str, float] = {}
        self._groups = groups_module.GroupTracker()
        self.rests = rests_module.Rests()
        self.leaving = leaving_module.LeavingRuns()
        self._mean_durations_s: dict[str, float] = {}
        self._report_sequence = 0

    def set_targets(
        self, usable_targets: collections.abc.Iterable[targets.Target]
    ) -> None:
        """Replace the targets that take new work."""
        by_service: dict[str, dict[str, targets.Target]] = {}
        for target in usable_targets:
            by_service.setdefault(target.service, {})[target.id] = target
        self._targets_by_service = by_service
        for service in self._groups.update_broken_groups(by_service):
            self._get_limit(service).restart()
        known_ids = {
            target_id
            for service_targets in by_service.values()
            for target_id in service_targets
        }
        self._health.set_known_targets(known_ids)
        known_runs = {
            runs_module.get_run(target)
            for service_targets in by_service.values()
            for target in service_targets.values()
        }
        self.rests.set_known_runs(known_runs)
        self.leaving.set_known_runs(known_runs)

    def has_target(self, target: targets.Target) -> bool:
        """Return whether a run of a target takes new work."""
        service_targets = self._targets_by_service.get(target.service, {})
        known = service_targets.get(target.id)
        return (
            known is not None
            and known.born_ms == target.born_ms
            and not self.leaving.is_marked(target)
        )

    def _list_targets(
        self, service: str
    ) -> collections.abc.Iterator[targets.Target]:
        """Yield the targets of a service that take new work."""
        for target in self._targets_by_service.get(service, {}).values():
            if not self.leaving.is_marked(target):
                yield target

    def choose(
        self,
        service: str,
        now_s: float,
        excluded_ids: collections.abc.Container[str] = (),
        *,
        may_probe: bool = True,
        prefers_serving: bool = False,
        extra_requests: int = const.EXTRA_REQUESTS_PER_TARGET,
        is_near_only: bool = False,
    ) -> Choice | None:
        """Return the target with the least load, or None if all are full.

        None is also returned while the service as a whole takes nothing.

        :param service: the service's name
        :param now_s: the current time in seconds
        :param excluded_ids: the ids of targets that already had the request
        :param may_probe: whether to choose a target that needs a probe after
            its rest though another one has room
        :param prefers_serving: whether a target that runs requests goes before
            one with nothing to do, which may refuse all that it gets
        :param extra_requests: how many requests a target may get beyond its
            slots
        :param is_near_only: whether only targets in the own failure domain
            are chosen
        """
        self.loads.expire(now_s)
        self._groups.expire_slowdowns(now_s)
        if self._is_backing_off(service, now_s):
            return None
        if not self._groups.may_send_request(service, now_s):
            return None
        candidates = self._list_candidates(service, now_s, excluded_ids)
        scored_candidates = [
            (
                not may_probe and self.rests.may_wait_for_probe(target, now_s),
                prefers_serving and not self._serves_with_room(target, load),
                self._score(target, load),
                target,
            )
            for target in candidates
            if (
                not is_near_only
                or target.failure_domain == self._failure_domain
            )
            and self._has_room(
                target, load := self._sum_load(target.id), extra_requests
            )
        ]
        if not scored_candidates:
            return None
        *_, best = min(scored_candidates, key=lambda item: item[:3])
        self._groups.record_request(service, now_s)
        return Choice(
            target=best,
            running=self.count_running(best.id),
            candidate_count=len(candidates),
            oldest_report_age_s=self.loads.get_oldest_age_s(now_s),
        )

    def _list_candidates(
        self,
        service: str,
        now_s: float,
        excluded_ids: collections.abc.Container[str],
    ) -> list[targets.Target]:
        """Return the healthy targets, or all targets if none is healthy.

        Ejecting all targets of a service would leave its callers without
        any answer, and the cause of the failures may be on this instance's
        side. Targets that are excluded, busy or rest are left out either way.
        """
        available = [
            target
            for target in self._list_targets(service)
            if target.id not in excluded_ids
            and not self._health.is_busy(target.id, now_s)
            and self.rests.may_send(target, now_s)
        ]
        healthy = [
            candidate
            for candidate in available
            if self._health.is_healthy(candidate.id, now_s)
        ]
        return healthy or available

    def _score(
        self, target: targets.Target, load: peers_module.RunningLoad
    ) -> tuple[float, int, bool, float]:
        """Return the sort key of a target; the lowest is chosen.

        Between targets with the same load, those in this instance's failure
        domain come first; the remaining ties are broken at random.
        """
        running = load.running + 1
        slots = target.slots or const.DEFAULT_SLOTS_PER_TARGET
        return (
            running * self._groups.get_slowdown(target) / slots,
            load.tokens,
            target.failure_domain != self._failure_domain,
            self._rng.random(),
        )

    def _serves_with_room(
        self, target: targets.Target, load: peers_module.RunningLoad
    ) -> bool:
        """Return whether a target runs requests and has a free slot."""
        slots = target.slots or const.DEFAULT_SLOTS_PER_TARGET
        return 0 < load.running < slots

    def _has_room(
        self,
        target: targets.Target,
        load: peers_module.RunningLoad,
        extra_requests: int,
    ) -> bool:
        """Return whether a target may get one more request.

        Each request at a slow rank counts as many requests as the rank's
        slowdown.
        """
        max_running: float = extra_requests + (
            target.slots or const.DEFAULT_SLOTS_PER_TARGET
        )
        limit = self._limits_by_service.get(target.service)
        if limit is not None:
            max_running = min(max_running, limit.max_requests)
        running = load.running + 1
        return running * self._groups.get_slowdown(target) <= max_running

    def measure_room(self, service: str, now_s: float) -> Room:
        """Return how much more a service's usable targets may run.

        :param service: the service's name
        :param now_s: the current time in seconds
        """
        self.loads.expire(now_s)
        limit = self._limits_by_service.get(service)
        limit_per_target = limit.max_requests if limit else float('inf')
        free = near_free = total_running = 0
        has_near = False
        total_slots = 0.0
        count_running = self.loads.count_running
        for target in self._list_candidates(service, now_s, ()):
            max_running: float = target.slots or const.DEFAULT_SLOTS_PER_TARGET
            if max_running > limit_per_target:
                max_running = limit_per_target
            total_slots += max_running
            running = count_running(target.id)
            if target.id in self._own_loads:
                running += self._own_loads[target.id].running
            total_running += running
            if running < max_running:
                max_running /= self._groups.get_slowdown(target)
                target_free = max(0, math.floor(max_running) - running)
                free += target_free
                if target.failure_domain == self._failure_domain:
                    near_free += target_free
            has_near = (
                has_near or target.failure_domain == self._failure_domain
            )
        return Room(
            free=free,
            near_free=near_free,
            has_near=has_near,
            slots=total_slots,
            running=total_running,
        )

    def is_recovering(self, service: str) -> bool:
        """Return whether a service's group opened again a moment ago."""
        limit = self._limits_by_service.get(service)
        return limit is not None and limit.is_recovering

    def update_slowdowns(
        self, group_paces: targets.GroupPaces, now_s: float
    ) -> bool:
        """Store the slowdowns of a group's ranks.

        :param group_paces: by rank, how many times longer than usual it takes
        :param now_s: the current time in seconds
        :returns: whether the slowdowns changed
        """
        return self._groups.update_slowdowns(group_paces, now_s)

    def record_event_gap(
        self, service: str, gap_s: float, accepted_gap_s: float
    ) -> None:
        """Record a gap between two events of a stream.

        :param service: the service's name
        :param gap_s: the gap in seconds
        :param accepted_gap_s: the longest gap that the caller accepts
        """
        self._get_limit(service).add_gap(gap_s, accepted_gap_s)

    def _get_limit(self, service: str) -> limit_module.ConcurrencyLimit:
        return self._limits_by_service.setdefault(
            service, limit_module.ConcurrencyLimit()
        )

    def adjust_limits(self) -> dict[str, float]:
        """Adjust the concurrency limits of services with streams.

        To be called every ``const.LIMIT_ADJUST_INTERVAL_S``.

        :returns: by service, the limit per target where there is one
        """
        for service, limit in self._limits_by_service.items():
            limit.close_interval()
            gaps_s = [*self.loads.list_gaps_s(service), limit.mean_gap_s]
            service_targets = self._targets_by_service.get(
                service, {}
            ).values()
            slots = max(
                (
                    item.slots or const.DEFAULT_SLOTS_PER_TARGET
                    for item in service_targets
                ),
                default=0,
            )
            limit.adjust([item for item in gaps_s if item], slots)
        return {
            service: limit.max_requests
            for service, limit in self._limits_by_service.items()
            if limit.max_requests != float('inf')
        }

    def count_running(self, target_id: str) -> int:
        """Return how many requests all instances have running at a target."""
        return self._sum_load(target_id).running

    def _sum_load(self, target_id: str) -> peers_module.RunningLoad:
        """Return what all instances have running at a target."""
        load = self.loads.get_load(target_id)
        own_load = self._own_loads.get(target_id)
        if own_load is None:
            return load
        return peers_module.RunningLoad(
            running=load.running + own_load.running,
            tokens=load.tokens + own_load.tokens,
        )

    def get_capacity(self, service: str, now_s: float) -> ServiceCapacity:
        """Return a service's capacity, use and number of targets."""
        service_targets = list(self._list_targets(service))
        usable = [
            target
            for target in service_targets
            if self._health.is_healthy(target.id, now_s)
            and self.rests.may_send(target, now_s)
        ]
        return ServiceCapacity(
            target_count=len(service_targets),
            usable_target_count=len(usable),
            slots=sum(
                usable_target.slots or const.DEFAULT_SLOTS_PER_TARGET
                for usable_target in usable
            ),
            running=sum(
                self.count_running(usable_target.id)
                for usable_target in usable
            ),
            waiting_elsewhere=self.loads.count_waiting(service),
        )

    def get_rest_wait_s(
        self,
        service: str,
        now_s: float,
        excluded_ids: collections.abc.Container[str] = (),
    ) -> float | None:
        """Return how long the first target still rests, if all of them do.

        :param service: the service's name
        :param now_s: the current time in seconds
        :param excluded_ids: the ids of targets that aren't waited for
        :returns: the time until then in seconds, None if one doesn't rest
        """
        first_s: float | None = None
        for target in self._list_targets(service):
            if target.id in excluded_ids:
                continue
            remaining_s = self.rests.get_remaining_s(target, now_s)
            if not remaining_s:
                return None
            first_s = min(remaining_s, first_s or remaining_s)
        return first_s

    def add_request(self, target_id: str, tokens: int) -> None:
        """Count a request that is sent to a target.

        :param target_id: the target
        :param tokens: the tokens of its prompt
        """
        load = self._own_loads.setdefault(
            target_id, peers_module.RunningLoad()
        )
        load.running += 1
        load.tokens += tokens

    def record_prompt_read(self, target_id: str, tokens: int) -> None:
        """Stop counting a prompt as unread; its request goes on.

        :param target_id: the target
        :param tokens: the tokens that the request was added with
        """
        self._own_loads[target_id].tokens -= tokens

    def remove_request(self, target_id: str, tokens: int) -> None:
        """Stop counting a request of this instance at a target.

        :param target_id: the target
        :param tokens: the tokens of its prompt, 0 if they have been read
        """
        load = self._own_loads[target_id]
        load.running -= 1
        load.tokens -= tokens
        if not load.running:
            del self._own_loads[target_id]

    def record_success(
        self, target_id: str, service: str, duration_s: float
    ) -> None:
        """Record a complete response; the target is healthy again.

        :param target_id: the target
        :param service: its service
        :param duration_s: the time from sending the request to the end of
            the response, in seconds
        """
        self._health.record_success(target_id)
        mean_s = self._mean_durations_s.get(service, duration_s)
        mean_s += const.DURATION_EWMA_WEIGHT * (duration_s - mean_s)
        self._mean_durations_s[service] = mean_s

    def get_mean_duration_s(self, service: str) -> float:
        """Return the mean duration of a service's requests, in seconds."""
        return self._mean_durations_s.get(service, const.DEFAULT_DURATION_S)

    def is_unavailable(self, service: str, now_s: float) -> bool:
        """Return whether a service as a whole takes no requests for now."""
        return self._is_backing_off(service, now_s) or self.is_group_broken(
            service
        )

    def is_group_broken(self, service: str) -> bool:
        """Return whether a service's model group is reported as broken."""
        return self._groups.is_broken(service)

    def _is_backing_off(self, service: str, now_s: float) -> bool:
        return self._backoff_until_s.get(service, 0.0) > now_s

    def record_response_started(self, service: str) -> None:
        """Record that a target of a service has started a response."""
        self._consecutive_refusals.pop(service, None)
        if self._groups.record_response_started(service):
            self._get_limit(service).restart()

    def record_refusal(
        self, target_id: str, service: str, now_s: float
    ) -> None:
        """Record that a target refused a request as busy.

        :param target_id: the target
        :param service: its service, which gets no requests for a while
            after several consecutive refusals
        :param now_s: the current time in seconds
        """
        count = self._consecutive_refusals.get(service, 0) + 1
        self._consecutive_refusals[service] = count
        if count >= const.CONSECUTIVE_REFUSALS_THRESHOLD:
            backoff_s = min(
                const.SERVICE_BACKOFF_S, self.get_mean_duration_s(service)
            )
            self._backoff_until_s[service] = now_s + backoff_s
        self._health.record_busy(target_id, now_s)

    def record_server_error(self, target_id: str) -> bool:
        """Record a server error in a response of a target.

        :param target_id: the target
        :returns: whether the number of consecutive errors has reached the
            threshold at which the target is treated as failed
        """
        return self._health.record_server_error(target_id)

    def record_failure(self, target_id: str, now_s: float) -> float:
        """Eject a target that failed.

        :param target_id: the target
        :param now_s: the current time in seconds
        :returns: for how long it is ejected, in seconds
        """
        return self._health.record_failure(target_id, now_s)

    @property
    def has_running_requests(self) -> bool:
        """Return whether this instance has any request at a target."""
        return bool(self._own_loads)

    def _get_gap_ms(self, service: str) -> int:
        limit = self._limits_by_service.get(service)
        return round(limit.mean_gap_s * 1000) if limit else 0

    def make_load_report(
        self,
        sender: str,
        incarnation: int,
        waiting: dict[str, int],
        waiting_by_urgency: dict[str, list[int]] | None = None,
    ) -> targets.Load:
        """Return the load report of this instance for the others.

        :param sender: this instance's name
        :param incarnation: the number of this instance's run
        :param waiting: by service, how many requests wait here
        :param waiting_by_urgency: by service whose order depends on it, how
            many of them there are of each urgency
        """
        self._report_sequence += 1
        return targets.Load(
            sender=sender,
            incarnation=incarnation,
            sequence=self._report_sequence,
            targets=[
                targets.TargetLoad(
                    target=target_id,
                    running=load.running,
                    tokens=bounds.clip_count(load.tokens, bounds.INTEGER_BITS),
                )
                for target_id, load in self._own_loads.items()
            ],
            services=[
                targets.ServiceLoad(
                    service=name,
                    waiting=waiting.get(name, 0),
                    gap_ms=self._get_gap_ms(name),
                    waiting_by_urgency=(waiting_by_urgency or {}).get(
                        name, []
                    ),
                )
                for name in waiting.keys() | self._limits_by_service.keys()
            ],
        )
