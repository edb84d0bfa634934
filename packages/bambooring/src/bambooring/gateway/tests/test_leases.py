"""Test that lease requests are answered through the replicated log."""

import typing

from bambooring.gateway import const
from bambooring.gateway import leases
from bambooring.policy import messages as policy
from bambooring_core import clock as clock_module
from bambooring_core import reactor as reactor_module


class _Link:
    """Record the grants that are sent over a link."""

    is_up = True

    def __init__(self):
        self.sent = []

    def send(self, message):
        """Record a grant."""
        self.sent.append(message)


def test_requests_wait_while_too_many_commands_are_in_flight():
    """Requests that had to wait are submitted once a command has ended.

    They were only submitted together with a later request.
    """
    clock = clock_module.ManualClock()
    replies = []
    with reactor_module.Reactor(clock) as reactor:

        def run_timers():
            clock.advance(const.LEASE_BATCH_DELAY_S)
            reactor.post(lambda: None)
            reactor.run_once()

        granter = leases.LeaseGranter(
            reactor,
            lambda command, timeout_s, reply: replies.append(reply),
        )
        for number in range(leases._MAX_IN_FLIGHT + 1):
            link: typing.Any = _Link()
            granter.add_request(
                link, policy.LeaseRequest(lease=number, version=1)
            )
            run_timers()
        assert len(replies) == leases._MAX_IN_FLIGHT
        run_timers()
        assert len(replies) == leases._MAX_IN_FLIGHT
        replies[0](None)
        run_timers()
        assert len(replies) == leases._MAX_IN_FLIGHT + 1
