"""Test each finding in a policy."""

import typing

import pytest

from bambooring.policy import messages as policy
from bambooring.review import policies


def _make_route(name='r', **fields):
    defaults: dict[str, typing.Any] = {
        'host': 'rota.example',
        'path_prefix': f'/{name}/',
        'kind': policy.RouteKind.STREAM,
        'services': [policy.WeightedService(service='llm', weight=1)],
        'timeout_s': 8.0,
        'first_byte_objective_s': 0.4,
        'priority': 0,
        'max_attempts': 2,
        'is_anonymous': False,
        'is_resumable': True,
        'max_event_gap_s': 0.12,
    }
    return policy.Route(name=name, **(defaults | fields))


def _make_service(name='llm', **fields):
    defaults: dict[str, typing.Any] = {'max_connections': 100, 'slots': 5}
    return policy.Service(name=name, **(defaults | fields))


def _make_account(name='a', **fields):
    defaults: dict[str, typing.Any] = {'keys': [f'key-{name}'], 'priority': 0}
    return policy.Account(name=name, **(defaults | fields))


def _make_limits(**fields):
    defaults: dict[str, typing.Any] = {
        'max_header_bytes': 16384,
        'max_body_bytes': 4 * 1024 * 1024,
        'header_timeout_s': 3.0,
        'idle_timeout_s': 15.0,
    }
    return policy.CallerLimits(**(defaults | fields))


def _review(
    routes=None, services=None, accounts=None, limits=None, regions=None
):
    checked = policy.Policy(
        version=1,
        routes=routes or [_make_route()],
        services=services or [_make_service()],
        accounts=accounts or [_make_account()],
        limits=limits or _make_limits(),
    )
    return [
        f'{finding.severity} {finding.code} {finding.entry}'
        for finding in policies.review(checked, regions)
    ]


def test_nothing_found_in_usual_policy():
    """Findings without a reason would hide those with one."""
    assert _review(regions={'d-1': 'eu'}) == []


@pytest.mark.parametrize('host', ['Rota.example', 'rota.example:80', 'a/b'])
def test_host_never_matches(host):
    """Requests are looked up by the host in lower case without a port."""
    findings = _review([_make_route(host=host)])
    assert findings == ['warning host_never_matches route r']


def test_host_with_address_of_version_6():
    """The colons of such a host are no port."""
    assert _review([_make_route(host='[::1]')]) == []


@pytest.mark.parametrize('prefix', ['a/', '/a?b=', '/a b', '/\xe9'])
def test_prefix_never_matches(prefix):
    """No path of a request line has such a form."""
    findings = _review([_make_route(path_prefix=prefix)])
    assert findings == ['warning prefix_never_matches route r']


def test_prefix_taken():
    """Of two routes with one prefix only one gets requests."""
    routes = [_make_route('r'), _make_route('s', path_prefix='/r/')]
    assert _review(routes) == ['error duplicate_prefix route s']


def test_prefix_taken_by_route_of_same_name():
    """A route that is copied would pass as one."""
    findings = _review([_make_route(), _make_route()])
    assert 'error duplicate_prefix route r' in findings


def test_prefix_mostly_shadowed():
    """A prefix with a slash takes all paths below that without."""
    routes = [_make_route('r'), _make_route('s', path_prefix='/r')]
    assert _review(routes) == ['note prefix_mostly_shadowed route s']


def test_duplicate_name():
    """Of two services with one name only one is used."""
    services = [_make_service(), _make_service()]
    assert _review(services=services) == ['warning duplicate_name service llm']


def test_unknown_service():
    """A route to a service that doesn't exist finds no targets."""
    weights = [
        policy.WeightedService(service=name, weight=1)
        for name in ('llm', 'gone')
    ]
    findings = _review([_make_route(services=weights)])
    assert findings == ['error unknown_service route r']


def test_no_weight():
    """No service can be drawn if all weights are 0."""
    weights = [policy.WeightedService(service='llm', weight=0)]
    findings = _review([_make_route('r', services=weights), _make_route('s')])
    assert findings == ['error no_weight route r']


def test_service_unused():
    """A service without a route never gets a request."""
    services = [_make_service(), _make_service('app')]
    assert _review(services=services) == ['warning service_unused service app']


@pytest.mark.parametrize(
    'code, fields',
    [
        ('objective_above_timeout', {'first_byte_objective_s': 9.0}),
        ('no_event_gap', {'max_event_gap_s': 0.0}),
        ('attempts_not_retryable', {'is_resumable': False}),
        ('priority_out_of_range', {'priority': 10}),
    ],
)
def test_route_contradicts_itself(code, fields):
    """The fields of one route exclude each other."""
    assert _review([_make_route(**fields)]) == [f'warning {code} route r']


def test_timeout_above_idle():
    """Answers that wait for their caller are dropped before the timeout."""
    findings = _review([_make_route(timeout_s=20.0)])
    assert findings == ['note timeout_above_idle route r']


@pytest.mark.parametrize(
    'code, fields',
    [
        ('cold_limit_without_time', {'cold_requests_per_s': 23.0}),
        ('connections_below_slots', {'max_connections': 4}),
    ],
)
def test_service_contradicts_itself(code, fields):
    """The limits of one service exclude each other."""
    findings = _review(services=[_make_service(**fields)])
    assert findings == [f'warning {code} service llm']


def test_no_keys():
    """No caller can use an account without keys."""
    findings = _review(accounts=[_make_account(keys=[])])
    assert findings == ['warning no_keys account a']


@pytest.mark.parametrize('key', ['', ' k', 'k\x01', '\u20ac'])
def test_key_unusable(key):
    """No header can carry the key."""
    findings = _review(accounts=[_make_account(keys=['k', key])])
    assert findings == ['warning key_unusable account a']


def test_shared_key():
    """A key would belong to one of its two accounts only."""
    accounts = [_make_account('a', keys=['k']), _make_account('b', keys=['k'])]
    assert _review(accounts=accounts) == ['error shared_key account b']


def test_account_priority_out_of_range():
    """There are ten classes of urgency."""
    findings = _review(accounts=[_make_account(priority=10)])
    assert findings == ['warning priority_out_of_range account a']


def test_body_limit_too_high():
    """The memory of a process is not made for larger bodies."""
    findings = _review(limits=_make_limits(max_body_bytes=5 * 1024 * 1024))
    assert findings == ['warning body_limit_too_high limits']


def test_limit_zero():
    """Every request has a head that is longer."""
    findings = _review(limits=_make_limits(max_header_bytes=0))
    assert findings == ['warning limit_zero limits']


def test_no_common_region_with_one_route():
    """An account gets 403 on the routes of other regions."""
    routes = [_make_route('r', allowed_regions=['eu']), _make_route('s')]
    accounts = [
        _make_account('a', allowed_regions=['us']),
        _make_account('b'),
    ]
    findings = _review(routes, accounts=accounts)
    assert findings == ['note no_common_region account a']


def test_no_common_region_with_any_route():
    """The account gets 403 on all routes."""
    routes = [_make_route(allowed_regions=['eu'])]
    accounts = [
        _make_account('a', allowed_regions=['us']),
        _make_account('b'),
    ]
    findings = _review(routes, accounts=accounts)
    assert findings == ['warning no_common_region account a']


def test_no_common_region_with_any_account():
    """The route answers all accounts with 403."""
    routes = [_make_route('r', allowed_regions=['eu']), _make_route('s')]
    accounts = [_make_account(allowed_regions=['us'])]
    findings = _review(routes, accounts=accounts)
    assert 'warning no_common_region route r' in findings


def test_common_region_without_failure_domain():
    """What both allow is nowhere, so the request gets 403."""
    routes = [_make_route(allowed_regions=['eu', 'us']), _make_route('s')]
    accounts = [
        _make_account('a', allowed_regions=['eu', 'asia']),
        _make_account('b'),
    ]
    regions = {'d-1': 'us', 'd-2': 'asia'}
    findings = _review(routes, accounts=accounts, regions=regions)
    assert 'note no_common_region account a' in findings


def test_unknown_region():
    """No failure domain is in the region, as after a typing error."""
    routes = [_make_route(allowed_regions=['eu', 'ue'])]
    findings = _review(routes, regions={'d-1': 'eu'})
    assert findings == ['warning unknown_region route r']
