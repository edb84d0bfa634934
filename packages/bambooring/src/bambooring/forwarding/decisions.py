"""Decide on requests: whether to take, keep waiting, repeat or refuse.

Everything here is pure; the passage carries out what is decided.
"""

import dataclasses

from bambooring.balancing import state as balancing
from bambooring.forwarding import const
from bambooring.forwarding import messages
from bambooring.policy import messages as policy
from bambooring.policy import state as policy_state


@dataclasses.dataclass(slots=True, kw_only=True)
class Admission:
    """Hold what the policy says of a request."""

    route: policy.Route
    account: policy.Account | None


def admit(
    policy_table: policy_state.PolicyTable | None,
    request: messages.CallerRequest,
    *,
    has_lease: bool,
) -> Admission | messages.ErrorResponse:
    """Look a request up in the policy in force.

    Without a valid lease a newer policy may exist, so nothing that depends
    on it is decided: neither that a key is good nor that it is unknown.

    :param table: the policy in force, None if none is known yet
    :param request: the request
    :param has_lease: whether the policy is known to be the newest
    :returns: what was found, or why not
    """
    if policy_table is None:
        return _reject_unexecuted(const.Reason.NO_POLICY)
    route = policy_table.find_route(request.host, request.path)
    if route is None:
        if not has_lease:
            return _reject_unexecuted(const.Reason.NO_LEASE)
        return messages.ErrorResponse(status=404, reason=const.Reason.NO_ROUTE)
    if route.is_anonymous or not policy_table.has_accounts:
        return Admission(route=route, account=None)
    if not has_lease:
        return _reject_unexecuted(const.Reason.NO_LEASE)
    account = (
        policy_table.find_account(request.api_key) if request.api_key else None
    )
    if account is None:
        return messages.ErrorResponse(
            status=401, reason=const.Reason.UNKNOWN_KEY
        )
    return Admission(route=route, account=account)


def _reject_unexecuted(reason: const.Reason) -> messages.ErrorResponse:
    return messages.ErrorResponse(
        status=503, reason=reason, retry_after_s=const.RETRY_AFTER_MIN_S
    )


# A place in a queue: whether a stream has not begun, whether its account and
# route get their share, whether the request will be late, and when it came,
# by priority.
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
    """Return a request's place in the queue; the least goes first.

    A stream that has begun goes first, since its caller has a part. Then
    come those whose account or route gets too few answers, and among equals
    those that can be on time: served oldest first, a queue that stands
    for long would make every request late. Each step of priority is worth
    some waiting, so that no account or route waits for ever.

    :param route: the request's route
    :param account: its client account, if it has one
    :param received_s: when it came
    :param is_begun: whether its caller has a part of the answer
    :param now_s: the current time in seconds
    :param is_underserved: whether its account or route gets too few answers
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


@dataclasses.dataclass(slots=True, kw_only=True)
class WaitEstimate:
    """Say how long a request would wait for a slot, in seconds.

    ``limit_s`` is the longest wait after which it is still worth running.
    """

    wait_s: float
    limit_s: float

    @property
    def is_worthwhile(self) -> bool:
        """Tell whether to wait."""
        return self.wait_s <= self.limit_s

    @property
    def retry_after_s(self) -> float:
        """Return when a caller that is refused should come back."""
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
    """Estimate a request's wait behind others for the same service.

    :param view: the service
    :param ahead: how many requests wait here before this one
    :param duration_s: the mean time that a request runs
    :param time_left_s: until the caller's deadline
    :param is_out: whether nothing runs at all for now
    """
    latest_start_s = time_left_s - mean_duration_s * const.MIN_TIME_LEFT_SHARE
    limit_s = min(latest_start_s, mean_duration_s * const.MAX_WAIT_DURATIONS)
    # Nobody knows when a service that is out comes back; half of the limit
    # is the guess that lets callers wait out a short gap.
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
    """Tell whether a caller does better to come back than to wait.

    It is asked while nothing can run the request and nobody knows for how
    long. A caller with most of its time left is told so at once.

    :param route: the route
    :param progress: what has been tried
    :param time_left_s: until the caller's deadline
    """
    if progress.is_response_started or progress.may_have_run:
        return False
    return time_left_s > const.RETRY_LATER_TIME_SHARE * route.timeout_s


@dataclasses.dataclass(slots=True, kw_only=True)
class Progress:
    """Sum up what has been tried for a request.

    ``may_have_run`` tells that an attempt was sent and proved nothing.
    ``is_begun`` tells that the caller has a part of the answer.
    """

    attempt_count: int = 0
    refused_count: int = 0
    may_have_run: bool = False
    is_response_started: bool = False


def may_retry(
    route: policy.Route, progress: Progress, time_left_s: float
) -> bool:
    """Tell whether the rules of a route allow another offer.

    An offer that was refused has not run, so it doesn't count as an
    attempt; what may have run is repeated only where that is allowed.

    :param route: the route
    :param progress: what has been tried
    :param time_left_s: until the caller's deadline
    """
    if time_left_s <= 0:
        return False
    if progress.refused_count > const.MAX_REFUSED_ATTEMPTS:
        return False
    possible_runs = progress.attempt_count - progress.refused_count
    if possible_runs and not route.is_retryable:
        return False
    return possible_runs < max(1, route.max_attempts)


def build_final_error(
    progress: Progress, reason: const.Reason, retry_after_s: float
) -> messages.ErrorResponse:
    """Return the final answer of a request that is given up.

    :param progress: what has been tried
    :param reason: why it is given up
    :param retry_after_s: when a caller may come back
    """
    if not progress.may_have_run:
        return messages.ErrorResponse(
            status=503, reason=reason, retry_after_s=retry_after_s
        )
    status = 504 if reason is const.Reason.TIMEOUT else 502
    return messages.ErrorResponse(status=status, reason=reason)
