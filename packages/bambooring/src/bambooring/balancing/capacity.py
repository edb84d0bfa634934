"""Measure the capacity of a service and how much of it is free."""

import collections.abc
import math

from bambooring.balancing import candidates
from bambooring.balancing import const
from bambooring.balancing import domains as domains_module
from bambooring.balancing import knowledge
from bambooring.balancing import messages
from bambooring.targets import messages as targets


def measure_capacity(
    known: knowledge.Knowledge,
    service: str,
    now_s: float,
    allowed_domains: domains_module.Domains = None,
) -> messages.ServiceCapacity:
    """Return a service's capacity, use and number of targets.

    :param known: what this instance knows
    :param service: the service's name
    :param now_s: the current time in seconds
    :param allowed_domains: the failure domains whose targets count;
        requests that wait elsewhere count for all of them
    """
    service_targets = list(known.pool.list_targets(service, allowed_domains))
    usable = [
        target
        for target in candidates.filter_sound(known, service_targets, now_s)
        if known.cold.is_reachable(target)
    ]
    duration_s = known.durations.get_s(service)
    return messages.ServiceCapacity(
        target_count=len(service_targets),
        usable_target_count=len(usable),
        slots=sum(
            known.cold.limit_slots(
                target,
                target.slots or const.DEFAULT_SLOTS_PER_TARGET,
                duration_s,
            )
            for target in usable
        ),
        running=sum(
            known.running.count_running(target.id) for target in usable
        ),
        waiting_elsewhere=known.loads.count_waiting(service),
    )


def measure_room(
    known: knowledge.Knowledge,
    service: str,
    now_s: float,
    extra_requests: int = 0,
) -> messages.Room:
    """Return how much more a service's usable targets may run.

    Cold targets count, although they need a permit: an instance asks for one
    only when it has found that there is room.

    :param known: what this instance knows
    :param service: the service's name
    :param now_s: the current time in seconds
    :param extra_requests: how many requests a target may get beyond its
        slots
    """
    known.loads.expire(now_s)
    limit = known.limits.find(service)
    room = messages.Room(
        free=0, near_free=0, has_near=False, slots=0.0, running=0
    )
    # Inlines ``RunningRequests.count_running``: its calls would take 1.5 us of
    # 40 us at 64 targets.
    count_running = known.loads.count_running
    own_loads = known.running.own_loads
    duration_s = known.durations.get_s(service)
    has_cold = bool(known.cold.runs)
    for target in candidates.list_available(known, service, now_s):
        slots = target.slots or const.DEFAULT_SLOTS_PER_TARGET
        if has_cold:
            if not known.cold.is_reachable(target):
                continue
            slots = known.cold.limit_slots(target, slots, duration_s)
        limit_per_target = (
            limit.get_max_requests(target.id) if limit else math.inf
        )
        room.slots += min(slots, limit_per_target)
        max_running = min(slots + extra_requests, limit_per_target)
        running = count_running(target.id)
        if target.id in own_loads:
            running += own_loads[target.id].running
        room.running += running
        is_near = target.failure_domain == known.failure_domain
        if running < max_running:
            max_running /= known.groups.get_slowdown(target)
            target_free = max(0, math.floor(max_running) - running)
            room.free += target_free
            if is_near:
                room.near_free += target_free
        if is_near:
            room.has_near = True
    return room


def get_rest_wait_s(
    known: knowledge.Knowledge,
    service: str,
    now_s: float,
    excluded_ids: collections.abc.Container[str] = frozenset(),
    allowed_domains: domains_module.Domains = None,
) -> float | None:
    """Return how long the first target still rests, if all of them do.

    :param known: what this instance knows
    :param service: the service's name
    :param now_s: the current time in seconds
    :param excluded_ids: the ids of targets that aren't waited for
    :param allowed_domains: the failure domains whose targets count
    :returns: the time until then in seconds, None if one doesn't rest
    """
    first_s: float | None = None
    for target in known.pool.list_targets(service, allowed_domains):
        if target.id in excluded_ids:
            continue
        remaining_s = known.rests.get_remaining_s(target, now_s)
        if not remaining_s:
            return None
        first_s = min(remaining_s, first_s or remaining_s)
    return first_s


def filter_by_room(
    known: knowledge.Knowledge,
    service: str,
    service_targets: collections.abc.Iterable[targets.Target],
    extra_requests: int = const.EXTRA_REQUESTS_PER_TARGET,
) -> collections.abc.Iterator[messages.LoadedTarget]:
    """Yield the targets that may get one more request, and their load.

    Each request at a slow rank counts as many requests as the rank's
    slowdown.

    :param known: what this instance knows
    :param service: the service's name
    :param service_targets: targets of the service
    :param extra_requests: how many requests a target may get beyond its
        slots
    """
    limit = known.limits.find(service)
    sum_load = known.running.sum_load
    get_slowdown = known.groups.get_slowdown
    for target in service_targets:
        max_running: float = extra_requests + (
            target.slots or const.DEFAULT_SLOTS_PER_TARGET
        )
        if limit is not None:
            max_running = min(max_running, limit.get_max_requests(target.id))
        load = sum_load(target.id)
        if (load.running + 1) * get_slowdown(target) <= max_running:
            yield target, load


def get_effective_slots(
    known: knowledge.Knowledge, target: targets.Target
) -> float:
    """Return the slots of a target, fewer for a slow rank."""
    slots = target.slots or const.DEFAULT_SLOTS_PER_TARGET
    return slots / known.groups.get_slowdown(target)
