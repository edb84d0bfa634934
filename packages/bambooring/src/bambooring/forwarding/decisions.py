"""Decide whether to admit, queue, retry or reject requests.

The functions have no side effects; the forwarder and its pending requests
carry out what is decided.
"""

import collections.abc
import dataclasses
import types

from bambooring.balancing import state as balancing
from bambooring.forwarding import const
from bambooring.forwarding import messages
from bambooring.forwarding import regions
from bambooring.policy import messages as policy
from bambooring.policy import state as policy_state


@dataclasses.dataclass(slots=True, kw_only=True)
class Admission:
    """The route and the client account of an admitted request.

    ``account`` is None if the route or the policy requires no API key.
    ``allowed_domains`` are the failure domains that may serve the request.
    """

    route: policy.Route
    account: policy.Account | None
    allowed_domains: regions.Domains = None


def admit(
    policy_table: policy_state.PolicyTable | None,
    request: messages.CallerRequest,
    *,
    has_lease: bool,
    draw: float = 0.0,
    regions_by_domain: collections.abc.Mapping[
        str, str
    ] = types.MappingProxyType({}),
) -> Admission | messages.ErrorResponse:
    """Find the route and the account of a request in the policy in force.

    Without a valid lease a newer policy may exist, so nothing that depends on
    it is decided: neither that a route or a key is unknown nor that a key is
    valid.

    :param policy_table: the policy in force, None if none is known yet
    :param request: the request
    :param has_lease: whether the policy is known to be the newest
    :param draw: a random number from 0 to 1, which spreads retries
    :param regions_by_domain: the region of each failure domain
    :returns: the admission, or the error response for the caller
    """
    if policy_table is None:
        return _reject_without_policy(draw)
    route = policy_table.find_route(request.host, request.path)
    if route is None:
        if not has_lease:
            return _reject_without_lease()
        return messages.ErrorResponse(status=404, reason=const.Reason.NO_ROUTE)
    if route.is_anonymous or not policy_table.has_accounts:
        return _admit_in_regions(
            route,
            None,
            regions_by_domain,
            lease_error=None if has_lease else _reject_without_lease(),
        )
    if not has_lease:
        return _reject_without_lease()
    account = (
        policy_table.find_account(request.api_key) if request.api_key else None
    )
    if account is None:
        return messages.ErrorResponse(
            status=401, reason=const.Reason.UNKNOWN_KEY
        )
    return _admit_in_regions(route, account, regions_by_domain)


def _admit_in_regions(
    route: policy.Route,
    account: policy.Account | None,
    regions_by_domain: collections.abc.Mapping[str, str],
    lease_error: messages.ErrorResponse | None = None,
) -> Admission | messages.ErrorResponse:
    """Admit a request unless there is no region where it may be served.

    :param route: its route
    :param account: its client account, if it has one
    :param regions_by_domain: the region of each failure domain
    :param lease_error: the response if the policy may not be the newest, by
        which a region may be allowed
    """
    allowed_domains = regions.find_allowed_domains(
        route, account, regions_by_domain
    )
    if allowed_domains is None or allowed_domains:
        return Admission(
            route=route, account=account, allowed_domains=allowed_domains
        )
    if lease_error is not None:
        return lease_error
    return messages.ErrorResponse(status=403, reason=const.Reason.NO_REGION)


def _reject_without_policy(draw: float) -> messages.ErrorResponse:
    """Refuse a request at an instance that has just started."""
    return messages.ErrorResponse(
        status=503,
        reason=const.Reason.NO_POLICY,
        retry_after_s=const.RETRY_AFTER_MIN_S
        + draw * const.POLICY_RETRY_AFTER_S,
    )


def _reject_without_lease() -> messages.ErrorResponse:
    """Refuse a request at an instance that lost the control group.

    Another instance may still have a lease, so the caller may retry soon.
    """
    return messages.ErrorResponse(
        status=503,
        reason=const.Reason.NO_LEASE,
        retry_after_s=const.RETRY_AFTER_MIN_S,
    )


def compute_outage_retry_after_s(time_left_s: float, draw: float) -> float:
    """Return after how long to retry during an outage of unknown length.

    :param time_left_s: the time until the caller's deadline
    :param draw: a random number from 0 to 1, which spreads retries
    """
    spread = 1 - const.OUTAGE_RETRY_SPREAD * draw
    wait_s = const.OUTAGE_RETRY_AFTER_SHARE * spread * time_left_s
    return max(wait_s, const.RETRY_AFTER_MIN_S)


# The sort key of a queued request, in ascending order: whether the caller has
# no part of the response yet, whether its account and route both get their
# share, whether it will be late, and when it was received, plus a delay by its
# priority.
QueueKey = tuple[bool, bool, bool, float]


def compute_queue_key(
    route: policy.Route,
    account: policy.Account | None,
    *,
    received_s: float,
    is_response_started: bool,
    now_s: float,
    is_underserved: bool = False,
) -> QueueKey:
    """Return the sort key of a queued request; the lowest is served first.

    A stream whose caller already has a part of it goes first. Next are
    requests whose account or route has too few requests served, and among
    equals those that can still be on time: if a queue that persists were
    served oldest first only, every request would be late. Each step of
    priority counts as some waiting time, so that no account or route waits
    forever.

    :param route: the request's route
    :param account: its client account, if it has one
    :param received_s: when it was received, in the reactor's seconds
    :param is_response_started: whether its caller has a part of the response
    :param now_s: the current time in seconds
    :param is_underserved: whether its account or route has too few requests
        served
    """
    is_late = (
        now_s - received_s
        > route.first_byte_objective_s * const.LATE_OBJECTIVE_SHARE
    )
    priority_delay_s = route.priority * const.ROUTE_PRIORITY_STEP_S
    if account is not None:
        priority_delay_s += account.priority * const.ACCOUNT_PRIORITY_STEP_S
    return (
        not is_response_started,
        not is_underserved,
        is_late,
        received_s + priority_delay_s,
    )


def get_stream_idle_s(route: policy.Route) -> float:
    """Return how long callers wait for the next event of a stream.

    After this time they give it up.
    """
    return max(
        const.STREAM_IDLE_TIMEOUT_S,
        const.STREAM_IDLE_OBJECTIVES * route.first_byte_objective_s,
        const.STREAM_IDLE_GAPS * route.max_event_gap_s,
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class WaitEstimate:
    """How long a request is expected to wait for a slot, in seconds.

    ``limit_s`` is the longest wait after which it is still worth running.
    """

    wait_s: float
    limit_s: float

    @property
    def is_worthwhile(self) -> bool:
        """Return whether the request should wait rather than be rejected."""
        return self.wait_s <= self.limit_s

    @property
    def retry_after_s(self) -> float:
        """Return after how long a rejected caller should retry."""
        excess_s = self.wait_s - self.limit_s
        return min(
            max(excess_s, const.RETRY_AFTER_MIN_S), const.RETRY_AFTER_MAX_S
        )


def estimate_wait(
    capacity: balancing.ServiceCapacity,
    *,
    queued_ahead: int,
    mean_duration_s: float,
    time_left_s: float,
    is_group_broken: bool = False,
) -> WaitEstimate:
    """Estimate a request's wait behind others of the same service.

    :param capacity: the slots and the waiting requests of the service
    :param queued_ahead: how many requests wait here before this one
    :param mean_duration_s: the mean duration of the service's requests
    :param time_left_s: the time until the caller's deadline
    :param is_group_broken: whether the service's model group is known to run
        nothing for now
    """
    latest_start_s = time_left_s - mean_duration_s * const.MIN_TIME_LEFT_SHARE
    limit_s = min(latest_start_s, mean_duration_s * const.MAX_WAIT_DURATIONS)
    # It is unknown when a service without capacity recovers. Assuming half of
    # the limit lets callers wait until a short outage is over.
    if is_group_broken:
        return WaitEstimate(wait_s=latest_start_s / 2, limit_s=latest_start_s)
    if not capacity.slots:
        return WaitEstimate(wait_s=limit_s / 2, limit_s=limit_s)
    waiting = queued_ahead + capacity.waiting_elsewhere + 1
    return WaitEstimate(
        wait_s=waiting * mean_duration_s / capacity.slots, limit_s=limit_s
    )


def should_retry_later(
    route: policy.Route, progress: 'Progress', time_left_s: float
) -> bool:
    """Return whether a caller should retry later rather than wait.

    Called while nothing can run the request and it is unknown for how long.
    A caller with most of its time left is told at once to retry later.

    :param route: the route
    :param progress: what has been tried for the request
    :param time_left_s: the time until the caller's deadline
    """
    if not progress.may_be_refused:
        return False
    return time_left_s > const.RETRY_LATER_TIME_SHARE * route.timeout_s


def may_start_before_stop(
    stop: messages.PlannedStop,
    *,
    admitted_s: float,
    now_s: float,
    deadline_s: float,
    mean_duration_s: float,
) -> bool:
    """Return whether a stopping instance may send a request to a target.

    A request that ends by its deadline before the instance does is always
    answered. Another one might be cut off, so it is sent only if it came
    before its caller could know of the stop and will probably be done.

    :param stop: when the instance stops
    :param admitted_s: when the whole request had been received
    :param now_s: the current time in seconds
    :param deadline_s: when the request times out
    :param mean_duration_s: the mean duration of its service's requests
    """
    if now_s >= stop.end_s:
        return False
    if deadline_s <= stop.end_s:
        return True
    if admitted_s > stop.accept_until_s:
        return False
    needed_s = mean_duration_s * const.STOPPING_MIN_DURATIONS
    return now_s + needed_s <= stop.end_s


@dataclasses.dataclass(slots=True, kw_only=True)
class Progress:
    """What has been tried for a pending request.

    ``refused_count`` counts the attempts that provably did not run,
    ``resting_count`` those of them whose target asked for a rest, and
    ``attempt_count`` all attempts. ``may_have_run`` is true if an attempt was
    sent and nothing proves that the target did not run it.
    ``is_response_started`` is true if the caller has a part of the response.
    """

    attempt_count: int = 0
    refused_count: int = 0
    resting_count: int = 0
    may_have_run: bool = False
    is_response_started: bool = False

    @property
    def may_be_refused(self) -> bool:
        """Return whether the caller may be told that nothing has run."""
        return not self.is_response_started and not self.may_have_run


def may_retry(
    route: policy.Route, progress: Progress, time_left_s: float
) -> bool:
    """Return whether the rules of a route allow another attempt.

    An attempt that was refused has not run, so it doesn't count against the
    route's maximum. A request that may have run is retried only if the route
    allows it.

    :param route: the route
    :param progress: what has been tried for the request
    :param time_left_s: the time until the caller's deadline
    """
    if time_left_s <= 0:
        return False
    busy_count = progress.refused_count - progress.resting_count
    if busy_count > const.MAX_REFUSED_ATTEMPTS:
        return False
    if progress.resting_count > const.MAX_RESTING_ATTEMPTS:
        return False
    possible_runs = progress.attempt_count - progress.refused_count
    if possible_runs and not route.is_retryable:
        return False
    return possible_runs < max(1, route.max_attempts)


def is_unproved_promise(
    route: policy.Route, response: messages.TargetResponse
) -> bool:
    """Return whether a target's status would have its caller run it twice.

    The status tells callers that the request has not run, but the target
    doesn't say so otherwise, and it must not run more than once.

    :param route: the route
    :param response: the response
    """
    return (
        response.status in const.NOT_RUN_STATUSES
        and not response.is_refused
        and not route.is_retryable
    )


def build_final_error(
    progress: Progress, reason: const.Reason, retry_after_s: float
) -> messages.ErrorResponse:
    """Return the error response to a request that is given up.

    It has status 503 and Retry-After only if the request has not run.

    :param progress: what has been tried for the request
    :param reason: why it is given up
    :param retry_after_s: after how long the caller may retry
    """
    if not progress.may_have_run:
        return messages.ErrorResponse(
            status=503, reason=reason, retry_after_s=retry_after_s
        )
    status = 504 if reason is const.Reason.TIMEOUT else 502
    return messages.ErrorResponse(status=status, reason=reason)


def get_total_timeout_s(
    request: messages.CallerRequest, route: policy.Route
) -> float:
    """Return the longest time from receipt to response, in seconds."""
    total_s = route.timeout_s
    if request.time_left_s is not None:
        total_s = min(total_s, request.time_left_s - const.DEADLINE_MARGIN_S)
    return max(0.0, total_s)
