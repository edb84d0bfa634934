"""Serve a caller by a cold target, with the real entry instance and agent."""

import contextlib
import dataclasses
import socket
from unittest import mock

import pytest

from bambooring.forwarding.tests import harness as harness_module
from bambooring.gateway import entry as entry_module
from bambooring.gateway import messages as gateway
from bambooring.policy import messages as policy
from bambooring.policy import state as policy_state
from bambooring.targets import messages as targets
from bambooring_agent.permits import task as issuer_module
from bambooring_core import clock as clock_module
from bambooring_core.http1 import server as http1_server
from bambooring_core.permits import const as permits_const
from bambooring_core import reactor as reactor_module

READ_ROUTE = harness_module.make_route('read', policy.RouteKind.IDEMPOTENT)
LESS_URGENT_ROUTE = harness_module.make_route(
    'review', policy.RouteKind.IDEMPOTENT, priority=1
)
POLICY = policy.Policy(
    version=1,
    routes=[READ_ROUTE],
    services=[
        policy.Service(
            name='app', max_connections=0, slots=5, cold_requests_per_s=23.0
        )
    ],
    accounts=[],
    limits=policy.CallerLimits(
        max_header_bytes=4096,
        max_body_bytes=10_000,
        header_timeout_s=3.0,
        idle_timeout_s=15.0,
    ),
)


class _Dialect(harness_module.Dialect):
    """Know one policy."""

    def __init__(self, routes):
        self._policy = dataclasses.replace(POLICY, routes=routes)

    def read_policy(self, document):
        """Return the policy."""
        return self._policy


def _make_settings(agent_port):
    return gateway.Settings(
        role='entry',
        cluster='c',
        instance='e1',
        failure_domain='a',
        link_address='127.0.0.1:0',
        callers_address='127.0.0.1:0',
        ready_address='127.0.0.1:0',
        seeds=[],
        may_bootstrap=False,
        cold_overrun=1.5,
        cold_slack=5.0,
        agent_port=agent_port,
    )


@pytest.mark.parametrize(
    'routes', [[READ_ROUTE], [READ_ROUTE, LESS_URGENT_ROUTE]]
)
def test_caller_is_served_by_a_cold_target(routes):
    """Once the agent grants permits; before that the request waits.

    Guards against an instance that doesn't pass the limits of its policy and
    the announced cold times on to the requester of permits, and against one
    that never asks since only targets with a permit count as room.
    """
    agent_clock = clock_module.ManualClock(1000.0)
    served = []

    def respond(exchange):
        served.append(exchange.request.get(b'id'))
        exchange.respond(200, harness_module.make_headers(exchange), b'whole')

    with contextlib.ExitStack() as stack:
        reactor = stack.enter_context(reactor_module.Reactor())
        server = stack.enter_context(
            http1_server.Server(
                reactor=reactor,
                address='127.0.0.1:0',
                limits=harness_module.LIMITS,
                handle=respond,
                count_refused=lambda reason: None,
            )
        )
        issuer = stack.enter_context(
            issuer_module.PermitIssuer(
                reactor=reactor,
                address='127.0.0.1:0',
                key=gateway.derive_link_key('c'),
                boot_clock=agent_clock,
            )
        )
        issuer.set_up()
        # The agent tells the instance to ask again soon.
        agent_clock.advance(permits_const.GRANT_WINDOW_S - 0.04)
        entry = entry_module.GatewayEntry(
            _make_settings(issuer.port),
            reactor=reactor,
            dialect=_Dialect(routes),
            incarnation=1,
        )
        for part in (
            entry._caller_server,
            entry._load_reporter,
            entry._permit_requester,
        ):
            stack.enter_context(part)
        entry.set_up()
        link = mock.Mock()
        link.name = 'control-1'
        document = policy_state.compress(b'{}')
        entry.handle_message(
            link, policy.Document(version=1, digest=b'', document=document)
        )
        target = targets.Target(
            id='t0',
            service='app',
            address=f'127.0.0.1:{server.port}',
            failure_domain='a',
            slots=5,
            state=targets.State.READY,
            born_ms=1,
            sequence=1,
            cold_ms=60_000,
        )
        announced = targets.Announced(
            targets=[target], refreshed=[], confirmation=0
        )
        entry.handle_message(link, announced)
        caller = stack.enter_context(
            socket.create_connection(('127.0.0.1', entry._caller_server.port))
        )
        caller.setblocking(False)
        caller.send(
            b'POST /read/1 HTTP/1.1\r\nHost: h\r\nId: 7\r\nLeft: 5\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        for turn in range(500):
            if turn == 50:
                assert not served
                agent_clock.advance(0.05)
            reactor.call_later(0.001, lambda: None)
            reactor.run_once()
            with contextlib.suppress(BlockingIOError):
                if caller.recv(100).startswith(b'HTTP/1.1 200'):
                    break
        else:
            raise AssertionError('no response')
        assert served == [b'7']
