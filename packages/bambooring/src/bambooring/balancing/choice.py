"""Choose the target of a request.

The targets of the service pass these steps: those that may get requests
(``candidates``), those with room (``capacity.filter_by_room``), those in the
failure domains that the request may leave for (``spill``), those that needn't
be put off, a random sample, the least loaded one.
"""

import collections.abc
import typing

from bambooring.balancing import candidates as candidates_module
from bambooring.balancing import capacity
from bambooring.balancing import const
from bambooring.balancing import knowledge
from bambooring.balancing import messages
from bambooring.balancing import spill as spill_module
from bambooring.loads import peers
from bambooring.targets import messages as targets

# How targets are compared; the lowest is chosen.
Score: typing.TypeAlias = tuple[float, int, bool, float]
ScoredTarget: typing.TypeAlias = tuple[Score, targets.Target]


def choose_target(
    known: knowledge.Knowledge, query: messages.TargetQuery, now_s: float
) -> messages.Choice | None:
    """Return the target with the least load, or None if all are full.

    None is also returned while the service as a whole takes nothing.

    :param known: what this instance knows
    :param query: what the request needs
    :param now_s: the current time in seconds
    """
    service = query.service
    known.expire(now_s)
    if known.refusals.is_backing_off(service, now_s):
        return None
    if not known.groups.may_send_request(service, now_s):
        return None
    candidates = candidates_module.list_candidates(
        known, service, now_s, query.excluded_ids, query.allowed_domains
    )
    loaded = list(
        capacity.filter_by_room(
            known,
            service,
            _list_near(known, candidates)
            if query.is_near_only
            else candidates,
            query.extra_requests,
        )
    )
    loaded = _select_domains(known, query, candidates, loaded, now_s)
    loaded = _keep_preferred(known, query, loaded, now_s)
    best_candidate = min(
        _score_targets(known, _draw_sample(known, loaded)),
        key=_get_score,
        default=None,
    )
    if known.cold.is_demand_new(service, best_candidate is None):
        _request_permits(known, service, best_candidate)
    if best_candidate is None:
        return None
    _, best = best_candidate
    known.groups.record_request(service, now_s)
    return messages.Choice(
        target=best,
        running=known.running.count_running(best.id),
        candidate_count=len(candidates),
        oldest_report_age_s=known.loads.get_oldest_age_s(now_s),
    )


def _list_near(
    known: knowledge.Knowledge, candidates: list[targets.Target]
) -> collections.abc.Iterator[targets.Target]:
    """Yield the targets in this instance's failure domain."""
    for target in candidates:
        if target.failure_domain == known.failure_domain:
            yield target


def _select_domains(
    known: knowledge.Knowledge,
    query: messages.TargetQuery,
    candidates: list[targets.Target],
    loaded: list[messages.LoadedTarget],
    now_s: float,
) -> list[messages.LoadedTarget]:
    """Return the targets in failure domains that the request may be sent to.

    :param known: what this instance knows
    :param query: what the request needs
    :param candidates: all targets that may get the request
    :param loaded: those of them that have room
    :param now_s: the current time in seconds
    """
    if known.spill is None:
        return loaded
    _update_spill(known, query.service, now_s)
    preferred = candidates
    if not query.may_probe:
        preferred = [
            target
            for target in candidates
            if not candidates_module.may_be_put_off(known, target, now_s)
        ]
        # A suspected target at home is no reason to stay there.
        ids = {target.id for target in preferred}
        loaded = [item for item in loaded if item[0].id in ids] or loaded
    return known.spill.select(
        query.service,
        preferred,
        loaded,
        request_bytes=query.request_bytes,
        waited_s=query.waited_s,
        duration_s=known.durations.get_s(query.service),
        rng=known.rng,
    )


def _update_spill(
    known: knowledge.Knowledge, service: str, now_s: float
) -> None:
    """Compute anew which requests of a service leave, if that is due.

    Targets of a model group are chosen by their load alone.
    """
    if known.spill is None or not known.spill.is_due(service, now_s):
        return
    service_targets = list(known.pool.list_targets(service))
    if any(target.group for target in service_targets):
        return
    own_loads = known.running.own_loads
    known.spill.update(
        service,
        [
            (target, capacity.get_effective_slots(known, target))
            for target in candidates_module.filter_sound(
                known, service_targets, now_s
            )
        ],
        known.loads,
        own_demand=known.waiting_by_service.get(service, 0)
        + sum(
            own_loads[target.id].running
            for target in service_targets
            if target.id in own_loads
        ),
        duration_s=known.durations.get_s(service),
        now_s=now_s,
    )


def _keep_preferred(
    known: knowledge.Knowledge,
    query: messages.TargetQuery,
    loaded: list[messages.LoadedTarget],
    now_s: float,
) -> list[messages.LoadedTarget]:
    """Return the targets that needn't be put off, or all if there is none.

    Of these, those that serve already come first where the query asks for it.
    """
    if query.may_probe and not query.prefers_serving:
        return loaded
    ranked = [
        (
            (
                not query.may_probe
                and candidates_module.may_be_put_off(known, item[0], now_s),
                query.prefers_serving and not _serves_with_room(item),
            ),
            item,
        )
        for item in loaded
    ]
    best_rank = min((rank for rank, _ in ranked), default=None)
    return [item for rank, item in ranked if rank == best_rank]


def _serves_with_room(item: messages.LoadedTarget) -> bool:
    """Return whether a target runs requests and has a free slot."""
    target, load = item
    slots = target.slots or const.DEFAULT_SLOTS_PER_TARGET
    return 0 < load.running < slots


def _draw_sample(
    known: knowledge.Knowledge, loaded: list[messages.LoadedTarget]
) -> list[messages.LoadedTarget]:
    """Return a random sample of targets to choose the least loaded from.

    Other instances choose in the same moment by the same reports. If each
    chose among all targets, the least loaded one would get a request from
    every one of them. Cold targets with a permit are always in it, since
    their permits expire.
    """
    is_small = len(loaded) <= const.CHOICE_SAMPLE_SIZE
    if is_small or not known.loads.is_shared:
        return loaded
    sample = known.rng.sample(loaded, const.CHOICE_SAMPLE_SIZE)
    if known.cold.runs:
        sample += [item for item in loaded if known.cold.is_cold(item[0])]
    return sample


def _score_targets(
    known: knowledge.Knowledge,
    loaded: collections.abc.Iterable[messages.LoadedTarget],
) -> collections.abc.Iterator[ScoredTarget]:
    """Yield the sort key of each target, and the target."""
    for target, load in loaded:
        yield _score(known, target, load), target


def _get_score(scored: ScoredTarget) -> Score:
    return scored[0]


def _score(
    known: knowledge.Knowledge,
    target: targets.Target,
    load: peers.RunningLoad,
) -> Score:
    """Return the sort key of a target; the lowest is chosen.

    Between targets with the same load, those in this instance's failure
    domain come first; the remaining ties are broken at random.
    """
    running = load.running + 1
    slots = target.slots or const.DEFAULT_SLOTS_PER_TARGET
    per_slot = running * known.groups.get_slowdown(target) / slots
    health = known.peer_health
    if health is not None and target.id in health.affected_ids:
        per_slot += health.get_penalty(target)
    is_away = target.failure_domain != known.failure_domain
    if known.spill is not None and target.group:
        per_slot += spill_module.weigh_tie(load.tokens, is_away) / slots
    return (
        per_slot,
        load.tokens,
        is_away,
        known.rng.random(),
    )


def _request_permits(
    known: knowledge.Knowledge,
    service: str,
    best_candidate: ScoredTarget | None,
) -> None:
    """Ask for permits if a cold target would be the best choice."""
    withheld = known.cold.draw_withheld(known.rng)
    scored_targets = sorted(
        (
            scored
            for scored in _score_targets(
                known, capacity.filter_by_room(known, service, withheld)
            )
            if best_candidate is None or scored[0] < best_candidate[0]
        ),
        key=_get_score,
    )
    known.cold.record_demand(
        service,
        [target for _, target in scored_targets],
        is_blocked=best_candidate is None,
    )
