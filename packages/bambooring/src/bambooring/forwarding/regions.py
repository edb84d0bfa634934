"""Decide in which failure domains a request may be served."""

import collections.abc

from bambooring.policy import messages as policy

# The failure domains whose targets may get a request, None for all.
Domains = frozenset[str] | None


def find_allowed_domains(
    route: policy.Route,
    account: policy.Account | None,
    regions_by_domain: collections.abc.Mapping[str, str],
) -> Domains:
    """Return the failure domains in the regions that a request is bound to.

    A route and a client account that are both bound to regions are served in
    those that they have in common.

    :param route: the route
    :param account: the client account, None for a request without one
    :param regions_by_domain: the region of each failure domain
    :returns: None if the request is bound to none; an empty set if there is no
        failure domain where it may be served
    """
    bounds = [set(route.allowed_regions)] if route.allowed_regions else []
    if account is not None and account.allowed_regions:
        bounds.append(set(account.allowed_regions))
    if not bounds:
        return None
    allowed_regions = set.intersection(*bounds)
    return frozenset(
        domain
        for domain, region in regions_by_domain.items()
        if region in allowed_regions
    )


def may_compete(first: Domains, second: Domains) -> bool:
    """Return whether two requests may be served by the same targets.

    :param first: the failure domains of one of them
    :param second: those of the other
    """
    return first is None or second is None or not first.isdisjoint(second)
