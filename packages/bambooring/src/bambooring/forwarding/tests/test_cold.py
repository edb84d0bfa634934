"""Send requests to targets that say that they are cold."""

import contextlib
import math

import pytest

from bambooring.balancing import permits
from bambooring.forwarding.tests import harness as harness_module


@pytest.fixture
def make_harness():
    """Make a harness with a target for each script."""
    with contextlib.ExitStack() as stack:
        yield lambda *scripts: harness_module.Harness(stack, *scripts)


def _respond_cold(target, exchange):
    target.record_run(exchange)
    headers = harness_module.make_headers(exchange, (b'Cold', b'60000'))
    exchange.respond(200, headers, b'whole')


def _respond_cold_for_another(target, exchange):
    target.record_run(exchange)
    exchange.respond(500, [(b'Id', b'other'), (b'Cold', b'60000')], b'')


def _ask(harness, attempt_id):
    sock = harness.send_request(b'/read/1', attempt_id=attempt_id)
    data, _ = harness.read_response(sock)
    return data.split(b' ')[1]


# Heartbeats told of it up to a second later.
def test_target_that_says_it_is_cold_gets_no_more(make_harness):
    """At once, and without a permit."""
    harness = make_harness(_respond_cold, harness_module.respond_with_success)
    harness.balancer.cold.set_limits({'app': 39})
    for number in range(6):
        assert _ask(harness, b'%d' % number) == b'200'
    assert len(harness.targets[0].runs) == 1


def test_response_of_another_request_says_nothing(make_harness):
    """A spoilt response takes no target out of service."""
    harness = make_harness(
        _respond_cold_for_another, harness_module.respond_with_success
    )
    harness.balancer.cold.set_limits({'app': 39})
    _ask(harness, b'1')
    assert not harness.balancer.cold.runs


# A machine was suspended between connecting and sending.
def test_permit_that_expires_while_connecting(make_harness):
    """The request isn't sent; the target isn't blamed and gets it later."""
    harness = make_harness(harness_module.respond_with_success)
    cold = harness.balancer.cold
    ends_s = iter([-math.inf, math.inf])
    cold.take_permit = lambda target: permits.Permit(
        end_s=next(ends_s), clock=cold.clock
    )
    assert _ask(harness, b'1') == b'200'
    assert harness.targets[0].runs == [b'1']
    assert harness.balancer.get_capacity('app', 0.0).usable_target_count
