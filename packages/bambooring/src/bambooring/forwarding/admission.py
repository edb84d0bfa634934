"""Decide whether it is worthwhile for a request to wait for a slot.

For services whose routes differ in priority. Rejecting early is better than
late: a caller held for long and then refused loses most. See
docs/design/order-of-service.md.
"""

import dataclasses

from bambooring.forwarding import const


@dataclasses.dataclass(slots=True, kw_only=True)
class Outlook:
    """The capacity of a service and who waits for it before a request.

    ``slots`` is how many requests the usable targets may run at once and
    ``running`` how many they do. ``ahead`` counts the waiting requests that
    go before this one, here and at other instances, and ``waiting`` all that
    wait anywhere. ``preferred_share`` is the share of recent requests that
    more urgent ones took, ``late_preferred_share`` that of those which go
    before the request once it is late. ``on_time_left_s`` is until when it
    must be sent to be on time. ``queue_limit_s`` is how much longer a request
    that waits already may do so, None for a new one.
    """

    slots: float
    running: int
    waiting: int
    ahead: float
    preferred_share: float
    late_preferred_share: float
    mean_duration_s: float
    time_left_s: float
    on_time_left_s: float
    queue_limit_s: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class Verdict:
    """Whether a request should wait, and the estimate behind it, in seconds.

    ``limit_s`` is the longest further wait that is worthwhile.
    """

    is_admitted: bool
    wait_s: float
    limit_s: float


def decide(outlook: Outlook) -> Verdict:
    """Decide whether a request should wait for a slot.

    :param outlook: the state of the service
    """
    limit_s = _compute_limit_s(outlook)
    if limit_s <= 0:
        return Verdict(is_admitted=False, wait_s=0.0, limit_s=limit_s)
    if not outlook.slots:
        # It is unknown when a service without capacity recovers.
        return Verdict(is_admitted=True, wait_s=limit_s / 2, limit_s=limit_s)
    wait_s = _estimate_wait_s(outlook, outlook.preferred_share)
    if wait_s > outlook.on_time_left_s:
        wait_s = _estimate_wait_s(outlook, outlook.late_preferred_share)
    if (
        not outlook.waiting
        and outlook.running < outlook.slots * const.IDLE_SLOTS_SHARE
    ):
        # The load doesn't explain why it can't run, so that won't last long.
        return Verdict(
            is_admitted=True, wait_s=min(wait_s, limit_s), limit_s=limit_s
        )
    # Estimates vary; a request that waits is refused only if they are clear.
    slack = 1.0 if outlook.queue_limit_s is None else const.RECHECK_SLACK
    return Verdict(
        is_admitted=wait_s <= limit_s * slack, wait_s=wait_s, limit_s=limit_s
    )


def _estimate_wait_s(outlook: Outlook, preferred_share: float) -> float:
    """Return how long a request will wait for a slot, in seconds.

    Others that go before it arrive in the meantime. So its wait is that
    behind the requests ahead of it, divided by the share of the slots that
    the preferred ones leave (the mean wait in a queue with priorities).
    """
    left_share = max(1 - preferred_share, const.MIN_LEFT_SHARE)
    slots_per_s = outlook.slots / outlook.mean_duration_s
    return (outlook.ahead + 1) / slots_per_s / left_share


def _compute_limit_s(outlook: Outlook) -> float:
    """Return the longest further wait that is worthwhile, in seconds.

    A caller that is held for longer than a small part of its time and then
    refused loses more the longer it was held, and it must be left time to run.
    """
    latest_start_s = (
        outlook.time_left_s
        - outlook.mean_duration_s * const.MIN_TIME_LEFT_SHARE
    )
    if outlook.queue_limit_s is not None:
        return min(latest_start_s, outlook.queue_limit_s)
    return min(latest_start_s, outlook.time_left_s * const.HELD_TIME_SHARE)


def compute_retry_after_s(
    *,
    wait_s: float,
    mean_duration_s: float,
    time_left_s: float,
    draw: float,
) -> float:
    """Return after how long a refused caller should retry, in seconds.

    Retries are spread evenly over the time until there is room, so that they
    don't come at once. Callers don't honour more than a third of their time.

    :param wait_s: the estimated time until there is room
    :param mean_duration_s: the mean duration of the service's requests
    :param time_left_s: the time until the caller's deadline
    :param draw: a random number from 0 to 1
    """
    latest_s = min(
        const.RETRY_AFTER_MIN_S + max(wait_s, mean_duration_s),
        const.MAX_RETRY_TIME_SHARE * time_left_s,
    )
    spread_s = max(0.0, latest_s - const.RETRY_AFTER_MIN_S)
    return const.RETRY_AFTER_MIN_S + draw * spread_s
