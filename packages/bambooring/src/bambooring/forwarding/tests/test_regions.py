"""Test that requests stay in the regions that they are bound to."""

import contextlib
import dataclasses

import pytest

from bambooring.forwarding import const
from bambooring.forwarding import decisions
from bambooring.forwarding import messages
from bambooring.forwarding import regions
from bambooring.forwarding.tests import harness as harness_module
from bambooring.policy import messages as policy
from bambooring.policy import state as policy_state

REGIONS = {'a': 'r-1', 'b': 'r-2', 'c': 'r-2'}


@pytest.mark.parametrize(
    ('route_regions', 'account_regions', 'domains'),
    [
        ([], [], None),
        (['r-1'], [], 'a'),
        ([], ['r-2'], 'bc'),
        (['r-1', 'r-2'], ['r-2'], 'bc'),
        (['r-1'], ['r-2'], ''),
        (['r-9'], [], ''),
        (['r-9', 'r-1'], [], 'a'),
    ],
    ids=range(7),
)
def test_meeting_of_regions(route_regions, account_regions, domains):
    """A request isn't served where its route or its account forbids it."""
    route = harness_module.make_route(
        'read', policy.RouteKind.IDEMPOTENT, allowed_regions=route_regions
    )
    account = policy.Account(
        name='t', keys=[], priority=0, allowed_regions=account_regions
    )
    found = regions.find_allowed_domains(route, account, REGIONS)
    assert found == (None if domains is None else frozenset(domains))


def _admit(route_regions, *, has_lease=True, regions_by_domain=REGIONS):
    route = harness_module.make_route(
        'read', policy.RouteKind.IDEMPOTENT, allowed_regions=route_regions
    )
    table = policy_state.PolicyTable(
        dataclasses.replace(harness_module.POLICY, routes=[route])
    )
    request = messages.CallerRequest(
        attempt_id='1',
        method='GET',
        request_target='/read/x',
        host='h',
        path='/read/x',
        api_key=None,
        time_left_s=None,
        last_event_id=None,
        prompt_tokens=1,
        prompt_parts=(),
        headers=[],
        body=b'',
    )
    return decisions.admit(
        table,
        request,
        has_lease=has_lease,
        regions_by_domain=regions_by_domain,
    )


@pytest.mark.parametrize('regions_by_domain', [REGIONS, {}], ids=range(2))
def test_no_known_region_is_refused(regions_by_domain):
    """A caller isn't kept waiting for a target that can't exist."""
    result = _admit(['r-9'], regions_by_domain=regions_by_domain)
    assert result == messages.ErrorResponse(
        status=403, reason=const.Reason.NO_REGION
    )


def test_outdated_policy_does_not_forbid():
    """Without a lease a newer policy may allow another region."""
    assert _admit(['r-9'], has_lease=False).reason is const.Reason.NO_LEASE


def test_request_without_regions_may_go_anywhere():
    """A policy without regions behaves as before, also without settings."""
    assert _admit([], regions_by_domain={}).allowed_domains is None


@pytest.fixture
def make_harness():
    """Return a function that makes a forwarder with scripted targets.

    The first target is in failure domain a, the others are in b.
    """
    with contextlib.ExitStack() as stack:

        def make(*scripts, **regions_by_route):
            harness = harness_module.Harness(stack, *scripts)
            harness.forwarder.regions_by_domain = REGIONS
            harness.forwarder.policy_table = policy_state.PolicyTable(
                dataclasses.replace(
                    harness_module.POLICY,
                    routes=[
                        dataclasses.replace(
                            route,
                            allowed_regions=regions_by_route.get(
                                route.name, []
                            ),
                        )
                        for route in harness_module.POLICY.routes
                    ],
                )
            )
            return harness

        yield make


def test_caller_sees_why_nothing_serves_it(make_harness):
    """A caller of a route without a region gets 403 and the reason."""
    harness = make_harness(harness_module.respond_with_success, read=['r-9'])
    lease = harness.forwarder._lease
    request = lease.make_request(1, 0.0)
    lease.apply_grant(policy.LeaseGrant(lease=request.lease, version=1), 1)
    data, _ = harness.read_response(harness.send_request(b'/read/x'))
    assert data.startswith(b'HTTP/1.1 403')
    assert data.endswith(b'no_region\n')
    assert not harness.run_count


def test_retry_stays_in_the_region(make_harness):
    """A target that refuses doesn't send a request to another region."""
    harness = make_harness(
        harness_module.refuse,
        harness_module.respond_with_success,
        read=['r-1'],
    )
    data, _ = harness.read_response(
        harness.send_request(b'/read/x', time_left=b'0.5')
    )
    assert data.startswith(b'HTTP/1.1 503')
    assert not harness.targets[1].runs


def _fill(harness, path):
    """Send requests that never end until one of them is queued."""
    socks = []
    while not harness.forwarder.dispatcher.count_queued():
        count = harness.forwarder.pending_count
        socks.append(harness.send_request(path))
        harness.turn_until(lambda: harness.forwarder.pending_count > count)
        assert count < 50
    harness_module.advance(harness, 0.02, step=0.01)
    return socks


def test_full_region_does_not_hold_up_others(make_harness):
    """Requests bound to a full region are passed by those that aren't."""
    harness = make_harness(
        harness_module.hang, harness_module.hang, book=['r-1']
    )
    socks = _fill(harness, b'/book/x')
    assert not harness.targets[1].runs
    socks.append(harness.send_request(b'/read/y'))
    harness.turn_until(lambda: harness.targets[1].runs)
    assert harness.forwarder.dispatcher.count_queued() == {'app': 1}
    for sock in socks:
        sock.close()


def test_freed_slot_goes_to_the_bound_request(make_harness):
    """A queued request gets the next slot in its region, in its turn."""
    harness = make_harness(
        harness_module.rest_then_hang, harness_module.hang, book=['r-1']
    )
    harness.targets[0].refused_s.append(0.0)
    socks = _fill(harness, b'/book/x')
    count = len(harness.targets[0].runs)
    exchange = harness.targets[0].hanging[0]
    exchange.respond(200, harness_module.make_headers(exchange), b'whole')
    harness.turn_until(lambda: len(harness.targets[0].runs) > count)
    assert not harness.targets[1].runs
    for sock in socks:
        sock.close()
