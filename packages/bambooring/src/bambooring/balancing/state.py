"""Spread requests evenly over a service's targets.

The load of a target is the number of requests that all entry instances have
running there: this instance counts its own, the others report theirs in
datagrams (``bambooring.loads``). The ranks of a model group run in lock-step,
so a rank with more requests than the others slows all of them down. Targets
are therefore compared by running requests per slot first. A rank reads prompts
one after the other, a part in each pass, so ties are broken by the tokens that
a target has still to read: they delay the first event of later requests.
"""

import collections.abc
import dataclasses
import math
import random
import typing

from bambooring.balancing import bodies
from bambooring.balancing import const
from bambooring.balancing import domains as domains_module
from bambooring.balancing import groups as groups_module
from bambooring.balancing import health as health_module
from bambooring.balancing import leaving as leaving_module
from bambooring.balancing import limit as limit_module
from bambooring.balancing import peer_health as peer_health_module
from bambooring.balancing import permits as permits_module
from bambooring.balancing import rests as rests_module
from bambooring.balancing import runs as runs_module
from bambooring.balancing import spill as spill_module
from bambooring.loads import peers as peers_module
from bambooring.loads import state as loads_state
from bambooring.targets import messages as targets
from bambooring_core import bounds
from bambooring_core import clock as clock_module

# How targets are compared; the lowest is chosen.
Score: typing.TypeAlias = tuple[float, int, bool, float]


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

    ``target_count`` counts all targets that may get requests,
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


# A target and what all instances have running there.
LoadedTarget = tuple[targets.Target, peers_module.RunningLoad]


class Balancer:
    """Choose targets by their load and health, as one instance knows them."""

    def __init__(
        self,
        failure_domain: str,
        rng: random.Random,
        *,
        known_domains: collections.abc.Iterable[str] = (),
        boot_clock: clock_module.Clock | None = None,
        own_address: str = '',
        shares_health: bool = False,
        prefers_own_domain: bool = False,
        byte_cost_s_per_mb: float = 0.0,
    ) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._domains = domains_module.DomainFilter(known_domains)
        self._targets_by_service: dict[str, dict[str, targets.Target]] = {}
        self._own_loads: dict[str, peers_module.RunningLoad] = {}
        self._health = health_module.HealthTracker()
        self.loads = loads_state.ClusterLoads()
        self.peer_health: peer_health_module.PeerHealth | None = None
        if shares_health:
            self.peer_health = peer_health_module.PeerHealth(
                own_address, failure_domain, self.loads.suspicions
            )
        self.spill: spill_module.Spill | None = None
        if prefers_own_domain and failure_domain:
            self.spill = spill_module.Spill(failure_domain, byte_cost_s_per_mb)
        self._waiting_by_service: dict[str, int] = {}
        self._limits_by_service: dict[str, limit_module.ConcurrencyLimit] = {}
        self._consecutive_refusals: dict[str, int] = {}
        self._backoff_until_s: dict[str, float] = {}
        self.rests = rests_module.Rests()
        self.bodies = bodies.TargetBodies()
        self.leaving = leaving_module.LeavingRuns()
        self.cold = permits_module.ColdTargets(failure_domain, boot_clock)
        self._groups = groups_module.GroupTracker(self.cold)
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
            if self.peer_health is not None:
                self.peer_health.forget_service(service)
        if self.peer_health is not None:
            self.peer_health.set_targets(by_service)
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
        self.cold.set_known_runs(known_runs)

    def has_target(self, target: targets.Target) -> bool:
        """Return whether a run of a target takes new work.

        It may, although its failure domain is evacuated.
        """
        service_targets = self._targets_by_service.get(target.service, {})
        known = service_targets.get(target.id)
        return (
            known is not None
            and known.born_ms == target.born_ms
            and not self.leaving.is_marked(target)
        )

    def _list_targets(
        self, service: str, allowed_domains: domains_module.Domains = None
    ) -> collections.abc.Iterable[targets.Target]:
        """Return the targets of a service that may get requests."""
        return self._domains.select(
            self._list_announced(service), allowed_domains
        )

    def _list_announced(
        self, service: str
    ) -> collections.abc.Iterator[targets.Target]:
        """Yield the targets of a service that take new work."""
        for target in self._targets_by_service.get(service, {}).values():
            if not self.leaving.is_marked(target):
                yield target

    def set_evacuated_domains(
        self, domains: collections.abc.Iterable[str]
    ) -> None:
        """Replace the failure domains whose targets get no requests."""
        self._domains.set_evacuated(domains)

    def is_evacuated(
        self, service: str, allowed_domains: domains_module.Domains = None
    ) -> bool:
        """Return whether a service lacks targets only by evacuations.

        :param service: the service's name
        :param allowed_domains: the failure domains whose targets count
        """
        return self._domains.lacks_only_evacuated(
            self._list_announced(service), allowed_domains
        )

    def choose(
        self,
        service: str,
        now_s: float,
        excluded_ids: collections.abc.Container[str] = (),
        *,
        may_probe: bool = True,
        prefers_serving: bool = False,
        extra_requests: int = const.EXTRA_REQUESTS_PER_TARGET,
        allowed_domains: domains_module.Domains = None,
        request_bytes: int = 0,
        waited_s: float = 0.0,
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
        :param allowed_domains: the failure domains to choose from
        :param request_bytes: the size of the request
        :param waited_s: how long it has waited here, in seconds
        :param is_near_only: whether only targets in the own failure domain
            are chosen
        """
        self.loads.expire(now_s)
        self._groups.expire_slowdowns(now_s)
        self.cold.update(now_s)
        if self.peer_health is not None:
            self.peer_health.refresh(now_s)
        if self._is_backing_off(service, now_s):
            return None
        if not self._groups.may_send_request(service, now_s):
            return None
        candidates = self._list_candidates(
            service, now_s, excluded_ids, allowed_domains
        )
        loaded = [
            (target, load)
            for target in candidates
            if (
                not is_near_only
                or target.failure_domain == self._failure_domain
            )
            and self._has_room(
                target, load := self._sum_load(target.id), extra_requests
            )
        ]
        if self.spill is not None:
            self._update_spill(service, now_s)
            preferred = candidates
            if not may_probe:
                preferred = [
                    target
                    for target in candidates
                    if not self._may_be_put_off(target, now_s)
                ]
                # Targets of the own domain that are resting or suspected don't
                # keep a request there, unless they are the only ones left.
                ids = {target.id for target in preferred}
                loaded = [
                    item for item in loaded if item[0].id in ids
                ] or loaded
            loaded = self.spill.select(
                service,
                preferred,
                loaded,
                request_bytes=request_bytes,
                waited_s=waited_s,
                duration_s=self.get_mean_duration_s(service),
                rng=self._rng,
            )
        ranked = [
            (
                not may_probe and self._may_be_put_off(target, now_s),
                prefers_serving and not self._serves_with_room(target, load),
                target,
                load,
            )
            for target, load in loaded
        ]
        best_rank = min((item[:2] for item in ranked), default=None)
        best_candidate = min(
            (
                (self._score(target, load), target)
                for target, load in self._draw_sample(
                    [item[2:] for item in ranked if item[:2] == best_rank]
                )
            ),
            key=lambda item: item[0],
            default=None,
        )
        if self.cold.is_demand_new(service, best_candidate is None):
            self._request_permits(service, best_candidate)
        if best_candidate is None:
            return None
        _, best = best_candidate
        self._groups.record_request(service, now_s)
        return Choice(
            target=best,
            running=self.count_running(best.id),
            candidate_count=len(candidates),
            oldest_report_age_s=self.loads.get_oldest_age_s(now_s),
        )

    def _draw_sample(self, loaded: list[LoadedTarget]) -> list[LoadedTarget]:
        """Return a random sample of targets to choose the least loaded from.

        Other instances choose in the same moment by the same reports. If each
        chose among all targets, the least loaded one would get a request from
        every one of them. Cold targets with a permit are always in it, since
        their permits expire.
        """
        is_small = len(loaded) <= const.CHOICE_SAMPLE_SIZE
        if is_small or not self.loads.is_shared:
            return loaded
        sample = self._rng.sample(loaded, const.CHOICE_SAMPLE_SIZE)
        if self.cold.runs:
            sample += [item for item in loaded if self.cold.is_cold(item[0])]
        return sample

    def _list_candidates(
        self,
        service: str,
        now_s: float,
        excluded_ids: collections.abc.Container[str],
        allowed_domains: domains_module.Domains = None,
    ) -> list[targets.Target]:
        """Return the healthy targets, or all targets if none is healthy.

        Ejecting all targets of a service would leave its callers without
        any answer, and the cause of the failures may be on this instance's
        side. Targets that are excluded, busy, rest or are cold and need a
        permit are left out either way.
        """
        available = [
            target
            for target in self._list_targets(service, allowed_domains)
            if target.id not in excluded_ids
            and not self._health.is_busy(target.id, now_s)
            and self.rests.may_send(target, now_s)
        ]
        healthy = [
            candidate
            for candidate in available
            if self._is_healthy(candidate, now_s)
        ]
        return self.cold.withhold(service, healthy or available, now_s)

    def _request_permits(
        self,
        service: str,
        best_candidate: tuple[Score, targets.Target] | None,
    ) -> None:
        """Ask for permits if a cold target would be the best choice."""
        scored_targets = [
            (self._score(target, load), target)
            for target in self.cold.draw_withheld(self._rng)
            if self._has_room(target, load := self._sum_load(target.id))
        ]
        if best_candidate is not None:
            scored_targets = [
                item for item in scored_targets if item[0] < best_candidate[0]
            ]
        scored_targets.sort(key=lambda item: item[0])
        self.cold.record_demand(
            service,
            [target for _, target in scored_targets],
            is_blocked=best_candidate is None,
        )

    def _is_healthy(self, target: targets.Target, now_s: float) -> bool:
        """Return whether neither this instance nor others' word ejects it."""
        if not self._health.is_healthy(target.id, now_s):
            return False
        if self.peer_health is None:
            return True
        return (
            target.id not in self.peer_health.affected_ids
            or not self.peer_health.is_ejected(
                target, is_used=target.id in self._own_loads
            )
        )

    def _may_be_put_off(self, target: targets.Target, now_s: float) -> bool:
        """Return whether a target is left to requests that may probe."""
        if self.rests.may_wait_for_probe(target, now_s):
            return True
        return self.peer_health is not None and self.peer_health.is_suspected(
            target
        )

    def _score(
        self, target: targets.Target, load: peers_module.RunningLoad
    ) -> Score:
        """Return the sort key of a target; the lowest is chosen.

        Between targets with the same load, those in this instance's failure
        domain come first; the remaining ties are broken at random.
        """
        running = load.running + 1
        slots = target.slots or const.DEFAULT_SLOTS_PER_TARGET
        per_slot = running * self._groups.get_slowdown(target) / slots
        health = self.peer_health
        if health is not None and target.id in health.affected_ids:
            per_slot += health.get_penalty(target)
        is_away = target.failure_domain != self._failure_domain
        if self.spill is not None and target.group:
            per_slot += spill_module.weigh_tie(load.tokens, is_away) / slots
        return (
            per_slot,
            load.tokens,
            is_away,
            self._rng.random(),
        )

    def _update_spill(self, service: str, now_s: float) -> None:
        """Compute anew which requests of a service leave, if that is due.

        Services with model groups have no such plan: their targets are chosen
        by load, see ``spill``.
        """
        if self.spill is None or not self.spill.is_due(service, now_s):
            return
        if any(target.group for target in self._list_targets(service)):
            return
        service_targets = list(self._list_targets(service))
        self.spill.update(
            service,
            [
                (target, self._get_effective_slots(target))
                for target in service_targets
                if self._is_healthy(target, now_s)
                and self.rests.may_send(target, now_s)
            ],
            self.loads,
            own_demand=self._waiting_by_service.get(service, 0)
            + sum(
                self._own_loads[target.id].running
                for target in service_targets
                if target.id in self._own_loads
            ),
            duration_s=self.get_mean_duration_s(service),
            now_s=now_s,
        )

    def _get_effective_slots(self, target: targets.Target) -> float:
        slots = target.slots or const.DEFAULT_SLOTS_PER_TARGET
        return slots / self._groups.get_slowdown(target)

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
        extra_requests: int = const.EXTRA_REQUESTS_PER_TARGET,
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
            max_running = min(max_running, limit.get_max_requests(target.id))
        running = load.running + 1
        return running * self._groups.get_slowdown(target) <= max_running

    def measure_room(
        self, service: str, now_s: float, extra_requests: int = 0
    ) -> Room:
        """Return how much more a service's usable targets may run.

        :param service: the service's name
        :param now_s: the current time in seconds
        :param extra_requests: how many requests a target may get beyond its
            slots
        """
        self.loads.expire(now_s)
        limit = self._limits_by_service.get(service)
        room = Room(free=0, near_free=0, has_near=False, slots=0.0, running=0)
        count_running = self.loads.count_running
        for target in self._list_candidates(service, now_s, ()):
            slots = target.slots or const.DEFAULT_SLOTS_PER_TARGET
            limit_per_target = (
                limit.get_max_requests(target.id) if limit else math.inf
            )
            room.slots += min(slots, limit_per_target)
            max_running = min(slots + extra_requests, limit_per_target)
            running = count_running(target.id)
            if target.id in self._own_loads:
                running += self._own_loads[target.id].running
            room.running += running
            if running < max_running:
                max_running /= self._groups.get_slowdown(target)
                target_free = max(0, math.floor(max_running) - running)
                room.free += target_free
                if target.failure_domain == self._failure_domain:
                    room.near_free += target_free
            if target.failure_domain == self._failure_domain:
                room.has_near = True
        return room

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
            targets_by_id = self._targets_by_service.get(service, {})
            slots = max(
                (
                    item.slots or const.DEFAULT_SLOTS_PER_TARGET
                    for item in targets_by_id.values()
                ),
                default=0,
            )
            busiest = max(
                (self.count_running(target_id) for target_id in targets_by_id),
                default=0,
            )
            limit.adjust([item for item in gaps_s if item], slots, busiest)
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

    def get_capacity(
        self,
        service: str,
        now_s: float,
        allowed_domains: domains_module.Domains = None,
    ) -> ServiceCapacity:
        """Return a service's capacity, use and number of targets.

        :param service: the service's name
        :param now_s: the current time in seconds
        :param allowed_domains: the failure domains whose targets count;
            requests that wait elsewhere count for all of them
        """
        service_targets = list(self._list_targets(service, allowed_domains))
        usable = [
            target
            for target in service_targets
            if self._is_healthy(target, now_s)
            and self.rests.may_send(target, now_s)
            and self.cold.is_reachable(target)
        ]
        return ServiceCapacity(
            target_count=len(service_targets),
            usable_target_count=len(usable),
            slots=sum(
                self.cold.limit_slots(
                    usable_target,
                    usable_target.slots or const.DEFAULT_SLOTS_PER_TARGET,
                    self.get_mean_duration_s(service),
                )
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
        allowed_domains: domains_module.Domains = None,
    ) -> float | None:
        """Return how long the first target still rests, if all of them do.

        :param service: the service's name
        :param now_s: the current time in seconds
        :param excluded_ids: the ids of targets that aren't waited for
        :param allowed_domains: the failure domains whose targets count
        :returns: the time until then in seconds, None if one doesn't rest
        """
        first_s: float | None = None
        for target in self._list_targets(service, allowed_domains):
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

    def _find_target(self, target_id: str) -> targets.Target | None:
        """Return the run that takes new work under an id."""
        for service_targets in self._targets_by_service.values():
            if target_id in service_targets:
                return service_targets[target_id]
        return None

    def record_success(
        self,
        target_id: str,
        service: str,
        duration_s: float,
        now_s: float = 0.0,
        size_bytes: int = 0,
    ) -> None:
        """Record a complete response; the target is healthy again.

        :param target_id: the target
        :param service: its service
        :param duration_s: the time from sending the request to the end of
            the response, in seconds
        :param now_s: the current time in seconds, used for shared health only
        :param size_bytes: the size of the request and its response
        """
        self._health.record_success(target_id)
        target = self._find_target(target_id)
        if self.peer_health is not None and target is not None:
            self.peer_health.record_success(target, now_s - duration_s, now_s)
        if self.spill is not None and target is not None:
            self.spill.record_response(target, duration_s, size_bytes)
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
        target = self._find_target(target_id)
        if self.peer_health is None or target is None:
            return
        slots = target.slots or const.DEFAULT_SLOTS_PER_TARGET
        has_room = self.count_running(target_id) < slots
        if has_room and not self.is_group_broken(service):
            self.peer_health.record_refusal(target, now_s)

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
        ejection_s = self._health.record_failure(target_id, now_s)
        target = self._find_target(target_id)
        if self.peer_health is not None and target is not None:
            if not self.is_group_broken(target.service):
                self.peer_health.record_failure(target, ejection_s, now_s)
        return ejection_s

    def classify_domain(self, target: targets.Target) -> str:
        """Return whether a target is in the 'own' or an 'other' domain."""
        is_own = target.failure_domain == self._failure_domain
        return 'own' if is_own else 'other'

    def set_instances(
        self, domains_by_address: collections.abc.Mapping[str, str]
    ) -> None:
        """Replace the other entry instances.

        :param domains_by_address: the failure domain of each link address
        """
        if self.peer_health is not None:
            self.peer_health.set_instances(domains_by_address)
        if self.spill is not None:
            self.spill.set_instances(domains_by_address)

    def refresh_health(
        self, now_s: float
    ) -> list[peer_health_module.HealthChange]:
        """Return what others' word ejected or let return since the last call.

        :param now_s: the current time in seconds
        """
        if self.peer_health is None:
            return []
        self.loads.expire(now_s)
        self.peer_health.refresh(now_s)
        return self.peer_health.take_changes()

    @property
    def has_health_news(self) -> bool:
        """Return whether the load report names suspected or sound targets."""
        return self.peer_health is not None and self.peer_health.has_news

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
        self._waiting_by_service = waiting
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
            suspicions=self.peer_health.list_suspicions()
            if self.peer_health is not None
            else [],
        )
