"""Publish policies, match requests and hold leases."""

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


def test_versions_only_rise():
    """A resent publication is accepted again, other content is not."""
    outcome = messages.PublishOutcome
    store = state.PolicyStore()
    assert _publish(store, 4) is outcome.ACCEPTED
    assert _publish(store, 4) is outcome.REPEATED
    assert _publish(store, 4, b'b') is outcome.CONFLICT
    assert _publish(store, 9, b'c') is outcome.ACCEPTED
    assert _publish(store, 4) is outcome.SUPERSEDED
    assert store.newest.document == b'c'
    copy = state.PolicyStore()
    assert all(copy.restore(message) for message in store.save())
    assert copy.newest == store.newest


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
    """Return a table of a policy."""
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
    """The longest prefix of the host's routes wins."""
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


@hypothesis.given(
    strategies.lists(
        strategies.text('ab/', max_size=6).map(lambda one: f'/{one}/'),
        max_size=6,
        unique=True,
    ),
    strategies.text('ab/', max_size=9).map(lambda one: f'/{one}'),
)
def test_longest_prefix_by_definition(prefixes, path):
    """The lookup agrees with the plain definition."""
    table = make_table(*(_make_route(one) for one in prefixes))
    fitting = [one for one in prefixes if path.startswith(one)]
    found = table.find_route('h', path)
    wanted = max(fitting, key=len, default=None)
    assert (found.path_prefix if found else None) == wanted


def test_weights():
    """Services are drawn by their weights."""
    services = [
        messages.WeightedService(service='a', weight=90),
        messages.WeightedService(service='b', weight=10),
    ]
    rng = random.Random(1)
    drawn = [state.draw_service(services, rng) for _ in range(2000)]
    assert 140 < drawn.count('b') < 260


def test_lease_counts_from_the_question():
    """A late answer, or a pause before it, doesn't stretch a lease."""
    held = lease.Lease(4.0)
    assert not held.is_valid(0.0)
    question = held.make_request(1, 10.0)
    grant = messages.LeaseGrant(lease=question.lease, version=1)
    assert held.apply_grant(grant, 1)
    assert held.is_valid(13.9)
    assert not held.is_valid(14.1)


def test_lease_needs_the_newest_version():
    """Proof of a newer version gives no right to act on an older one."""
    held = lease.Lease(4.0)
    question = held.make_request(1, 0.0)
    newer = messages.LeaseGrant(lease=question.lease, version=2)
    assert not held.apply_grant(newer, 1)
    assert not held.is_valid(0.1)
    assert held.apply_grant(newer, 2)
    assert held.is_valid(0.1)


def test_lease_ignores_old_answers():
    """An answer to a question that is older than a lease is nothing."""
    held = lease.Lease(4.0)
    question = held.make_request(1, 0.0)
    held.make_request(1, 5.0)
    held.apply_grant(messages.LeaseGrant(lease=question.lease, version=1), 1)
    assert not held.is_valid(5.0)
