"""Decide which targets of a service may get a request, whatever their load."""

import collections.abc

from bambooring.balancing import domains as domains_module
from bambooring.balancing import knowledge
from bambooring.targets import messages as targets


def list_candidates(
    known: knowledge.Knowledge,
    service: str,
    now_s: float,
    excluded_ids: collections.abc.Container[str] = frozenset(),
    allowed_domains: domains_module.Domains = None,
) -> list[targets.Target]:
    """Return the targets that may get a request now.

    These are the available ones but for cold targets that need a permit.

    :param known: what this instance knows
    :param service: the service's name
    :param now_s: the current time in seconds
    :param excluded_ids: the ids of targets to leave out
    :param allowed_domains: the failure domains whose targets count
    """
    available = list_available(
        known, service, now_s, excluded_ids, allowed_domains
    )
    return known.cold.withhold(service, available, now_s)


def list_available(
    known: knowledge.Knowledge,
    service: str,
    now_s: float,
    excluded_ids: collections.abc.Container[str] = frozenset(),
    allowed_domains: domains_module.Domains = None,
) -> list[targets.Target]:
    """Return the healthy targets, or all targets if none is healthy.

    Ejecting all targets of a service would leave its callers without any
    answer, and the cause of the failures may be on this instance's side.
    Targets that are excluded, busy or rest are left out either way. Cold ones
    may need a permit.

    :param known: what this instance knows
    :param service: the service's name
    :param now_s: the current time in seconds
    :param excluded_ids: the ids of targets to leave out
    :param allowed_domains: the failure domains whose targets count
    """
    is_busy = known.health.is_busy
    may_send = known.rests.may_send
    available = [
        target
        for target in known.pool.list_targets(service, allowed_domains)
        if target.id not in excluded_ids
        and not is_busy(target.id, now_s)
        and may_send(target, now_s)
    ]
    healthy = list(filter_healthy(known, available, now_s))
    return healthy or available


def filter_healthy(
    known: knowledge.Knowledge,
    service_targets: collections.abc.Iterable[targets.Target],
    now_s: float,
) -> collections.abc.Iterator[targets.Target]:
    """Yield the targets that neither this instance nor others' word ejects.

    :param known: what this instance knows
    :param service_targets: the targets to choose from
    :param now_s: the current time in seconds
    """
    is_healthy = known.health.is_healthy
    own_loads = known.running.own_loads
    peer_health = known.peer_health
    for target in service_targets:
        if not is_healthy(target.id, now_s):
            continue
        if (
            peer_health is not None
            and target.id in peer_health.affected_ids
            and peer_health.is_ejected(target, is_used=target.id in own_loads)
        ):
            continue
        yield target


def filter_sound(
    known: knowledge.Knowledge,
    service_targets: collections.abc.Iterable[targets.Target],
    now_s: float,
) -> collections.abc.Iterator[targets.Target]:
    """Yield the targets that are healthy and don't rest.

    :param known: what this instance knows
    :param service_targets: the targets to choose from
    :param now_s: the current time in seconds
    """
    may_send = known.rests.may_send
    for target in filter_healthy(known, service_targets, now_s):
        if may_send(target, now_s):
            yield target


def may_be_put_off(
    known: knowledge.Knowledge, target: targets.Target, now_s: float
) -> bool:
    """Return whether a target is left to requests that may probe."""
    if known.rests.may_wait_for_probe(target, now_s):
        return True
    return known.peer_health is not None and known.peer_health.is_suspected(
        target
    )
