"""Find errors and contradictions in a policy."""

import collections
import collections.abc
import re

from bambooring.policy import messages as policy
from bambooring.policy import urgency
from bambooring.review import messages
from bambooring.review import report
from bambooring_core import bounds
from bambooring_core.http1 import const as http1_const

Findings = collections.abc.Iterator[messages.Finding]

# Routes are looked up by the host in lower case without its port.
_HOST = re.compile(r'\[[0-9a-f:.]+\]|[a-z0-9._~%!$&\'()*+,;=-]+')
# The path of a request line: printable ASCII without a question mark.
_PATH_PREFIX = re.compile(r'/[!->@-~]*')


def review(
    checked: policy.Policy,
    regions_by_domain: collections.abc.Mapping[str, str] | None = None,
) -> Findings:
    """Yield what is wrong with a policy or contradicts itself.

    :param checked: the policy
    :param regions_by_domain: the region of each failure domain, None if it
        isn't known, so that regions are only compared with each other
    """
    yield from _review_names(checked)
    yield from _review_prefixes(checked.routes)
    service_names = {service.name for service in checked.services}
    for route in checked.routes:
        yield from _review_route(route, service_names, checked.limits)
    used_names = {
        weighted.service
        for route in checked.routes
        for weighted in route.services
        if weighted.weight
    }
    for service in checked.services:
        yield from _review_service(service, used_names)
    yield from _review_keys(checked.accounts)
    for account in checked.accounts:
        yield from _review_account(account)
    yield from _review_limits(checked.limits)
    known_regions = None
    if regions_by_domain is not None:
        known_regions = set(regions_by_domain.values())
        yield from _review_known_regions(checked, known_regions)
    yield from _review_common_regions(checked, known_regions)


def _review_names(checked: policy.Policy) -> Findings:
    names_by_kind = {
        'route': [route.name for route in checked.routes],
        'service': [service.name for service in checked.services],
        'account': [account.name for account in checked.accounts],
    }
    for kind, names in names_by_kind.items():
        for name, count in collections.Counter(names).items():
            if count > 1:
                yield report.warn(
                    'duplicate_name',
                    f'{kind} {name}',
                    f'{count} entries have this name',
                )


def _review_prefixes(routes: list[policy.Route]) -> Findings:
    routes_by_prefix: dict[tuple[str, str], policy.Route] = {}
    for route in routes:
        other = routes_by_prefix.setdefault(
            (route.host, route.path_prefix), route
        )
        if other is not route:
            yield report.error(
                'duplicate_prefix',
                f'route {route.name}',
                f'route {other.name} has the same host and path prefix',
            )
    for route in routes:
        longer = routes_by_prefix.get((route.host, f'{route.path_prefix}/'))
        if longer is not None:
            yield report.note(
                'prefix_mostly_shadowed',
                f'route {route.name}',
                f'matches only {route.path_prefix} itself, as route {longer.name}'
                ' has all paths below',
            )


def _review_route(
    route: policy.Route,
    service_names: set[str],
    limits: policy.CallerLimits,
) -> Findings:
    entry = f'route {route.name}'
    if not _HOST.fullmatch(route.host):
        yield report.warn(
            'host_never_matches',
            entry,
            f'no request has the host {route.host!r}: expected lower case'
            ' without a port',
        )
    if not _PATH_PREFIX.fullmatch(route.path_prefix):
        yield report.warn(
            'prefix_never_matches',
            entry,
            f'no path begins with {route.path_prefix!r}: expected a slash'
            ' first, no query, and other characters escaped',
        )
    yield from _review_route_services(route, entry, service_names)
    yield from _review_route_times(route, entry, limits)
    if route.max_attempts > 1 and not route.is_retryable:
        yield report.warn(
            'attempts_not_retryable',
            entry,
            f'{route.max_attempts} attempts, but its requests are never'
            ' repeated',
        )
    yield from _review_priority(entry, route.priority)


def _review_route_services(
    route: policy.Route, entry: str, service_names: set[str]
) -> Findings:
    if not any(weighted.weight for weighted in route.services):
        yield report.error('no_weight', entry, 'no service has a weight')
    for weighted in route.services:
        if weighted.service not in service_names:
            yield report.error(
                'unknown_service', entry, f'no service {weighted.service}'
            )


def _review_route_times(
    route: policy.Route, entry: str, limits: policy.CallerLimits
) -> Findings:
    if route.first_byte_objective_s > route.timeout_s:
        yield report.warn(
            'objective_above_timeout',
            entry,
            f'first byte within {route.first_byte_objective_s:g} s, but'
            f' timeout after {route.timeout_s:g} s',
        )
    if route.kind is policy.RouteKind.STREAM and not route.max_event_gap_s:
        yield report.warn(
            'no_event_gap', entry, 'a stream, but no gap is accepted'
        )
    if route.timeout_s > limits.idle_timeout_s:
        # A connection is not idle while its request is handled, but while the
        # rest of a response waits for its caller.
        yield report.note(
            'timeout_above_idle',
            entry,
            f'timeout after {route.timeout_s:g} s, but a response that its'
            f' caller does not read is dropped after'
            f' {limits.idle_timeout_s:g} s',
        )


def _review_priority(entry: str, priority: int) -> Findings:
    if priority > urgency.LEAST_URGENT:
        yield report.warn(
            'priority_out_of_range',
            entry,
            f'priority {priority}: expected 0 to {urgency.LEAST_URGENT}',
        )


def _review_service(service: policy.Service, used_names: set[str]) -> Findings:
    entry = f'service {service.name}'
    if service.name not in used_names:
        yield report.warn(
            'service_unused', entry, 'no route gives it a weight'
        )
    if 0 < service.max_connections < service.slots:
        yield report.warn(
            'connections_below_slots',
            entry,
            f'{service.max_connections} connections to a target, which runs'
            f' {service.slots} requests at once',
        )
    if service.cold_requests_per_s and not service.cold_s:
        yield report.warn(
            'cold_limit_without_time',
            entry,
            f'{service.cold_requests_per_s:g} requests/s while cold, but'
            ' targets are cold for 0 s',
        )


def _review_keys(accounts: list[policy.Account]) -> Findings:
    owners: dict[str, policy.Account] = {}
    for account in accounts:
        for key in account.keys:
            owner = owners.setdefault(key, account)
            if owner is not account:
                yield report.error(
                    'shared_key',
                    f'account {account.name}',
                    f'a key of account {owner.name}',
                )


def _review_account(account: policy.Account) -> Findings:
    entry = f'account {account.name}'
    if not account.keys:
        yield report.warn('no_keys', entry, 'no caller can use it: no keys')
    # Keys are secrets, so findings give their positions only.
    for position, key in enumerate(account.keys, 1):
        if not _is_sendable(key):
            yield report.warn(
                'key_unusable',
                entry,
                f'no header can carry key {position} of {len(account.keys)}',
            )
    yield from _review_priority(entry, account.priority)


def _is_sendable(key: str) -> bool:
    try:
        # Keys in headers are read without white space at their ends.
        encoded = key.encode('latin-1')
    except UnicodeEncodeError:
        return False
    if not encoded or encoded != encoded.strip():
        return False
    return bounds.is_header_text(key)


def _review_limits(limits: policy.CallerLimits) -> Findings:
    if limits.max_body_bytes > http1_const.MAX_BODY_BYTES:
        yield report.warn(
            'body_limit_too_high',
            'limits',
            f'bodies of {limits.max_body_bytes} bytes, but processes are'
            f' dimensioned for {http1_const.MAX_BODY_BYTES}',
        )
    for name in ('max_header_bytes', 'header_timeout_s', 'idle_timeout_s'):
        if not getattr(limits, name):
            yield report.warn(
                'limit_zero', 'limits', f'{name} is 0: no request gets through'
            )


def _review_common_regions(
    checked: policy.Policy, known_regions: set[str] | None
) -> Findings:
    """Yield routes and accounts whose allowed regions exclude each other."""
    keyed_routes = [
        route for route in checked.routes if not route.is_anonymous
    ]
    for account in checked.accounts:
        excluded = [
            route.name
            for route in keyed_routes
            if not _have_common_region(route, account, known_regions)
        ]
        if not excluded:
            continue
        names = report.join_names(excluded)
        is_never_served = len(excluded) == len(keyed_routes)
        make = report.warn if is_never_served else report.note
        yield make(
            'no_common_region',
            f'account {account.name}',
            f'no allowed region in common with route {names}',
        )
    for route in keyed_routes:
        if checked.accounts and not any(
            _have_common_region(route, account, known_regions)
            for account in checked.accounts
        ):
            yield report.warn(
                'no_common_region',
                f'route {route.name}',
                'no allowed region in common with any account',
            )


def _have_common_region(
    route: policy.Route,
    account: policy.Account,
    known_regions: set[str] | None,
) -> bool:
    if not route.allowed_regions or not account.allowed_regions:
        return True
    common_regions = set(route.allowed_regions) & set(account.allowed_regions)
    if known_regions is not None:
        common_regions &= known_regions
    return bool(common_regions)


def _review_known_regions(
    checked: policy.Policy, known_regions: set[str]
) -> Findings:
    owners: list[tuple[str, list[str]]] = [
        (f'route {route.name}', route.allowed_regions)
        for route in checked.routes
    ]
    owners += [
        (f'account {account.name}', account.allowed_regions)
        for account in checked.accounts
    ]
    for entry, regions in owners:
        unknown = set(regions) - known_regions
        if not unknown:
            continue
        effect = '' if set(regions) & known_regions else ': never served'
        yield report.warn(
            'unknown_region',
            entry,
            f'no failure domain in {report.join_names(unknown)}{effect}',
        )
