"""Learn from the responses of targets."""

from bambooring.balancing import const
from bambooring.balancing import knowledge


def record_success(
    known: knowledge.Knowledge,
    target_id: str,
    service: str,
    duration_s: float,
    now_s: float,
    size_bytes: int,
) -> None:
    """Record a complete response; the target is healthy again.

    :param known: what this instance knows
    :param target_id: the target
    :param service: its service
    :param duration_s: the time from sending the request to the end of
        the response, in seconds
    :param now_s: the current time in seconds, used for shared health only
    :param size_bytes: the size of the request and its response
    """
    known.health.record_success(target_id)
    target = known.pool.find_target(target_id)
    if known.peer_health is not None and target is not None:
        known.peer_health.record_success(target, now_s - duration_s, now_s)
    if known.spill is not None and target is not None:
        known.spill.record_response(target, duration_s, size_bytes)
    known.durations.add(service, duration_s)


def record_response_started(known: knowledge.Knowledge, service: str) -> None:
    """Record that a target of a service has started a response."""
    known.refusals.record_response_started(service)
    if known.groups.record_response_started(service):
        known.limits.get(service).restart()


def record_refusal(
    known: knowledge.Knowledge, target_id: str, service: str, now_s: float
) -> None:
    """Record that a target refused a request as busy.

    :param known: what this instance knows
    :param target_id: the target
    :param service: its service, which gets no requests for a while
        after several consecutive refusals
    :param now_s: the current time in seconds
    """
    known.refusals.record_refusal(
        service, known.durations.get_s(service), now_s
    )
    known.health.record_busy(target_id, now_s)
    target = known.pool.find_target(target_id)
    if known.peer_health is None or target is None:
        return
    slots = target.slots or const.DEFAULT_SLOTS_PER_TARGET
    has_room = known.running.count_running(target_id) < slots
    if has_room and not known.groups.is_broken(service):
        known.peer_health.record_refusal(target, now_s)


def record_failure(
    known: knowledge.Knowledge, target_id: str, now_s: float
) -> float:
    """Eject a target that failed.

    :param known: what this instance knows
    :param target_id: the target
    :param now_s: the current time in seconds
    :returns: for how long it is ejected, in seconds
    """
    ejection_s = known.health.record_failure(target_id, now_s)
    target = known.pool.find_target(target_id)
    if known.peer_health is not None and target is not None:
        if not known.groups.is_broken(target.service):
            known.peer_health.record_failure(target, ejection_s, now_s)
    return ejection_s
