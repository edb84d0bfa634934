"""Test which urgency the priorities of a policy give a request."""

from bambooring.policy import messages
from bambooring.policy import urgency


def _make_route(name, priority, service='llm'):
    return messages.Route(
        name=name,
        host='h',
        path_prefix=f'/{name}/',
        kind=messages.RouteKind.STREAM,
        services=[messages.WeightedService(service=service, weight=1)],
        timeout_s=8.0,
        first_byte_objective_s=0.4,
        priority=priority,
        max_attempts=2,
        is_anonymous=False,
        is_resumable=True,
        max_event_gap_s=0.12,
    )


def _make_table(routes, account_priorities):
    accounts = [
        messages.Account(name=str(priority), keys=[], priority=priority)
        for priority in account_priorities
    ]
    policy = messages.Policy(
        version=1,
        routes=routes,
        services=[],
        accounts=accounts,
        limits=messages.CallerLimits(
            max_header_bytes=1,
            max_body_bytes=1,
            header_timeout_s=1,
            idle_timeout_s=1,
        ),
    )
    return urgency.UrgencyTable(policy), accounts


def test_no_urgency_where_routes_are_equal():
    """Equal routes would be ordered anew though nothing calls for it."""
    routes = [_make_route('a', 1), _make_route('b', 1)]
    table, accounts = _make_table(routes, [0, 1])
    assert table.find('llm', routes[0], accounts[1]) is None


def test_account_goes_before_route():
    """A route's priority would outweigh its account's."""
    routes = [_make_route(str(number), number) for number in range(3)]
    table, accounts = _make_table(routes, [1, 2])
    classes = [
        table.find('llm', route, account)
        for account in accounts
        for route in routes
    ]
    assert classes == sorted(set(classes))
    assert classes[0] == 0


def test_classes_stay_in_range():
    """More pairs than classes would need a header value above 9."""
    routes = [_make_route(str(number), number) for number in range(5)]
    table, accounts = _make_table(routes, range(6))
    classes = [
        table.find('llm', route, account)
        for account in accounts
        for route in routes
    ]
    assert classes == sorted(classes)
    assert set(classes) == set(range(urgency.CLASS_COUNT))
