"""Test the publication of policies, lookups in a policy, and leases."""

import random

import hypothesis
from hypothesis import strategies

from bambooring.policy import lease
from bambooring.policy import messages
from bambooring.policy import state


def _publish(store, version, content=b'a'):
    return store.publish(
        messages.Publish(version=version, digest=content, document=content)
    ).outcome


def test_versions_only_increase():
    """A repeated publication is no conflict, other content is one."""
    outcome = messages.PublishOutcome
    store = state.PolicyStore()
    assert _publish(store, 4) is outcome.ACCEPTED
    assert _publish(store, 4) is outcome.REPEATED
    assert _publish(store, 4, b'b') is outcome.CONFLICT
    assert _publish(store, 9, b'c') is outcome.ACCEPTED
    assert _publish(store, 4) is outcome.SUPERSEDED
    assert store.newest.document == b'c'
    restored = state.PolicyStore()
    assert all(restored.restore(message) for message in store.save())
    assert restored.newest == store.newest


def _make_route(prefix, host='h', **changes):
    values = {
        'name': prefix,
        'host': host,
        'path_prefix': prefix,
        'kind': messages.RouteKind.IDEMPOTENT,
        'services': [messages.WeightedService(service='app', weight=1)],
        'timeout_s': 1.0,
        'first_byte_objective_s': 0.2,
        'priority': 0,
        'max_attempts': 2,
        'is_anonymous': False,
        'is_resumable': False,
        'max_event_gap_s': 1.0,
    } | changes
    return messages.Route(**values)


def make_table(*routes, accounts=()):
    """Return the table of a policy with the given routes and accounts."""
    return state.PolicyTable(
        messages.Policy(
            version=1,
            routes=list(routes),
            services=[
                messages.Service(name='app', max_connections=9, slots=6)
            ],
            accounts=list(accounts),
            limits=messages.CallerLimits(
                max_header_bytes=1,
                max_body_bytes=1,
                header_timeout_s=1,
                idle_timeout_s=1,
            ),
        )
    )


def test_longest_prefix():
    """The host's route with the longest matching path prefix is found."""
    table = make_table(
        _make_route('/a/'), _make_route('/a/b/'), _make_route('/', 'other')
    )
    assert table.find_route('h', '/a/b/c').path_prefix == '/a/b/'
    assert table.find_route('h', '/a/bc').path_prefix == '/a/'
    assert table.find_route('h', '/a/').path_prefix == '/a/'
    assert table.find_route('h', '/a') is None
    assert table.find_route('h', '/b/') is None
    assert table.find_route('other', '/b').path_prefix == '/'
    assert table.find_route('unknown', '/a/') is None


# A route whose prefix doesn't end in a slash was accepted and never served.
def test_prefix_without_a_slash_matches_whole_segments():
    """It has the path itself and all below it, but none that goes on."""
    table = make_table(_make_route('/a'), _make_route('/a/b'))
    assert table.find_route('h', '/a').path_prefix == '/a'
    assert table.find_route('h', '/a/').path_prefix == '/a'
    assert table.find_route('h', '/a/c/d').path_prefix == '/a'
    assert table.find_route('h', '/a/b').path_prefix == '/a/b'
    assert table.find_route('h', '/a/b/c').path_prefix == '/a/b'
    assert table.find_route('h', '/ab') is None
    assert table.find_route('h', '/') is None


@hypothesis.given(
    strategies.lists(
        strategies.text('ab/', max_size=6).map(lambda text: f'/{text}/'),
        max_size=6,
        unique=True,
    ),
    strategies.text('ab/', max_size=9).map(lambda text: f'/{text}'),
)
def test_longest_prefix_by_definition(prefixes, path):
    """The lookup agrees with a linear search for the longest prefix."""
    table = make_table(*(_make_route(prefix) for prefix in prefixes))
    matching = [prefix for prefix in prefixes if path.startswith(prefix)]
    route = table.find_route('h', path)
    expected = max(matching, key=len, default=None)
    assert (route.path_prefix if route else None) == expected


def test_weights():
    """Services are drawn by their weights."""
    services = [
        messages.WeightedService(service='a', weight=90),
        messages.WeightedService(service='b', weight=10),
    ]
    rng = random.Random(1)
    drawn = [state.draw_service(services, rng) for _ in range(2000)]
    assert 140 < drawn.count('b') < 260


def test_lease_runs_from_the_request():
    """A late grant, or a pause before it, doesn't extend a lease."""
    policy_lease = lease.Lease(4.0)
    assert not policy_lease.is_valid(0.0)
    request = policy_lease.make_request(1, 10.0)
    grant = messages.LeaseGrant(lease=request.lease, version=1)
    assert policy_lease.apply_grant(grant, 1)
    assert policy_lease.is_valid(13.9)
    assert not policy_lease.is_valid(14.1)


def test_lease_needs_the_newest_version():
    """A grant of a newer version doesn't allow to act on an older one."""
    policy_lease = lease.Lease(4.0)
    request = policy_lease.make_request(1, 0.0)
    grant = messages.LeaseGrant(lease=request.lease, version=2)
    assert not policy_lease.apply_grant(grant, 1)
    assert not policy_lease.is_valid(0.1)
    assert policy_lease.apply_grant(grant, 2)
    assert policy_lease.is_valid(0.1)


def test_lease_ignores_old_grants():
    """A grant of a request that is older than a lease has no effect."""
    policy_lease = lease.Lease(4.0)
    request = policy_lease.make_request(1, 0.0)
    policy_lease.make_request(1, 5.0)
    policy_lease.apply_grant(
        messages.LeaseGrant(lease=request.lease, version=1), 1
    )
    assert not policy_lease.is_valid(5.0)
