"""Check that the routes of confirmed policies are in force, and stay so.

Times are seconds of the monotonic clock of the soak's own process.
"""

import collections
import collections.abc

from soak import history as history_module
from soak import routes as routes_module

# A confirmed policy is in force everywhere after this time.
APPLY_S = 2.0
# A process that has used a policy uses no older one after this time, which
# covers requests that a fault delays on their way.
REGRESS_S = 2.0
# An instance is undisturbed this long after a fault.
CONTACT_S = 3.0
# What routes that were added later are served, as a share of the others'.
MIN_SERVED_SHARE = 0.25
MIN_REQUESTS = 20
_MISSING = ''


def check(
    history: history_module.History,
) -> collections.abc.Iterator[str]:
    """Yield a line for each violated guarantee.

    :param history: what operators sent, and what callers and targets observed
    """
    policies = list(history.published_policies.values())
    requests = history.list_requests()
    services_by_target = {
        execution.target: execution.service for execution in history.executions
    }
    used_by_process: dict[int, list[tuple[float, int]]] = (
        collections.defaultdict(list)
    )
    for request in sorted(requests, key=lambda request: request.sent_s):
        outcome = _get_outcome(request, services_by_target)
        if outcome is None:
            continue
        versions = [
            policy.version
            for policy in policies
            if policy.sent_s < request.ended_s
            and policy.routes.get(request.route, _MISSING) == outcome
        ]
        described = (
            f'{request.attempt_id} at {request.entry} on {request.route}:'
            f' {request.status} {outcome}'
        )
        if not versions:
            yield f'handled as no policy allows: {described}'
            continue
        newest = _find_newest_confirmed(policies, request.sent_s - APPLY_S)
        is_calm = not history.is_disturbed(
            request.sent_s - APPLY_S - CONTACT_S, request.ended_s
        )
        if is_calm and max(versions) < newest:
            yield (
                f'policy {newest} not in force in time: {described}, as in'
                f' {max(versions)}'
            )
        used = used_by_process[request.process_id]
        oldest_allowed = max(
            (
                version
                for ended_s, version in used
                if ended_s < request.sent_s - REGRESS_S
            ),
            default=0,
        )
        if max(versions) < oldest_allowed:
            yield (
                f'older than policy {oldest_allowed} that the process had'
                f' used: {described}, as in {max(versions)}'
            )
        used.append((request.ended_s, min(versions)))
    yield from _check_served(history, requests)


def _get_outcome(
    request: history_module.SentRequest, services_by_target: dict[str, str]
) -> str | None:
    """Return the service that served a request on a changing route.

    An empty text stands for a route that is unknown, None for all that tells
    nothing about the policy in force.
    """
    if request.kind != history_module.ROUTE_KIND or not request.status:
        return None
    if routes_module.is_unknown(request.status):
        return _MISSING
    if request.status == 200:
        return services_by_target.get(request.signature)
    return None


def _find_newest_confirmed(
    policies: collections.abc.Iterable[history_module.PublishedPolicy],
    before_s: float,
) -> int:
    return max(
        (
            policy.version
            for policy in policies
            if policy.confirmed_s is not None and policy.confirmed_s < before_s
        ),
        default=0,
    )


def _check_served(
    history: history_module.History,
    requests: collections.abc.Iterable[history_module.SentRequest],
) -> collections.abc.Iterator[str]:
    """Check that routes that were added later are served like the others."""
    added = history_module.ROUTE_KIND
    sent: collections.Counter[bool] = collections.Counter()
    served: collections.Counter[bool] = collections.Counter()
    for request in requests:
        is_added = request.kind == added
        if not request.ended_s or request.kind not in (added, 'read'):
            continue
        if routes_module.is_unknown(request.status):
            continue
        if history.is_disturbed(request.sent_s - CONTACT_S, request.ended_s):
            continue
        sent[is_added] += 1
        served[is_added] += request.status == 200
    if min(sent[True], sent[False]) < MIN_REQUESTS:
        return
    added_share = served[True] / sent[True]
    other_share = served[False] / sent[False]
    if added_share < MIN_SERVED_SHARE * other_share:
        yield (
            f'added routes are served less: {served[True]} of {sent[True]},'
            f' others {served[False]} of {sent[False]}'
        )
