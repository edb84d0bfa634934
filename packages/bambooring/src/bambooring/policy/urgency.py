"""Derive the urgency of requests from the priorities in a policy.

Only requests for services whose routes differ in priority have one: elsewhere
the order of service doesn't use it.
"""

import typing

from bambooring.policy import messages

# The most urgent class is 0.
LEAST_URGENT: typing.Final = 9
CLASS_COUNT: typing.Final = LEAST_URGENT + 1


class UrgencyTable:
    """The urgency class of each account and route, by service.

    An account's priority takes precedence over its route's. The classes
    depend on the policy alone, so all instances number them alike.
    """

    __slots__ = ('_classes',)

    def __init__(self, policy: messages.Policy) -> None:
        # By service: the class of each pair of priorities.
        self._classes: dict[str, dict[tuple[int, int], int]] = {}
        priorities_by_service: dict[str, set[int]] = {}
        for route in policy.routes:
            for weighted in route.services:
                priorities_by_service.setdefault(weighted.service, set()).add(
                    route.priority
                )
        # A request without an account counts as one of priority 0.
        account_priorities = {account.priority for account in policy.accounts}
        if not policy.accounts or any(
            route.is_anonymous for route in policy.routes
        ):
            account_priorities.add(0)
        for service, route_priorities in priorities_by_service.items():
            if len(route_priorities) > 1:
                self._classes[service] = _number_classes(
                    account_priorities, route_priorities
                )

    def find(
        self,
        service: str,
        route: messages.Route,
        account: messages.Account | None,
    ) -> int | None:
        """Return the urgency of a request from 0, the most urgent, to 9.

        :returns: the urgency, None if the service's routes don't differ in
            priority
        """
        classes = self._classes.get(service)
        if classes is None:
            return None
        account_priority = account.priority if account is not None else 0
        return classes.get((account_priority, route.priority), LEAST_URGENT)


def _number_classes(
    account_priorities: set[int], route_priorities: set[int]
) -> dict[tuple[int, int], int]:
    """Return the class of each pair of an account's and a route's priority.

    Where there are more pairs than classes, neighbours share a class.
    """
    pairs = [
        (account_priority, route_priority)
        for account_priority in sorted(account_priorities)
        for route_priority in sorted(route_priorities)
    ]
    count = max(len(pairs), CLASS_COUNT)
    return {
        pair: index * CLASS_COUNT // count for index, pair in enumerate(pairs)
    }
