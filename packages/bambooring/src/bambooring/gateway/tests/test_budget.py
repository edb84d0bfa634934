"""Bound the retries of all entry instances together.

The pattern: a service fails for long, every instance retries whatever it
may, and all of them count for themselves. Together they stay within what
the platform allows for a service: a share of the requests and some slack,
in any window.
"""

import pytest

from bambooring.gateway import entry
from bambooring.gateway import messages as gateway
from bambooring_core import clock as clock_module
from bambooring_core import reactor as reactor_module

WINDOW_S = 10.0
RATIO, SLACK = 0.2, 200.0
TURN_S = 0.1
SECONDS = 40.0


def _make_entry(reactor, number, instances):
    address = '127.0.0.1:0'
    made = entry.GatewayEntry(
        gateway.Settings(
            role='entry',
            cluster='test',
            instance=f'entry-{number}',
            failure_domain='a',
            link_address=address,
            seeds=[],
            may_form=False,
            callers_address=address,
            ready_address=address,
            retry_ratio=RATIO,
            retry_window_s=WINDOW_S,
            retry_slack=SLACK,
        ),
        reactor=reactor,
        dialect=None,  # type: ignore[arg-type]
        incarnation=number + 1,
    )
    made._set_budget(instances)
    return made


@pytest.mark.parametrize('instances', [1, 18, 70])
def test_all_instances_together(instances):
    """What all may retry in any window stays within the bound."""
    clock = clock_module.ManualClock()
    with reactor_module.Reactor(clock) as reactor:
        entries = [
            _make_entry(reactor, number, instances)
            for number in range(instances)
        ]
        requests, retries = [], []
        for _ in range(round(SECONDS / TURN_S)):
            clock.advance(TURN_S)
            asked = taken = 0
            for one in entries:
                one.forwarder._budget.deposit()
                asked += 1
                while one.forwarder.spend_retry('test'):
                    taken += 1
            requests.append(asked)
            retries.append(taken)
    window = round(WINDOW_S / TURN_S)
    for start in range(len(retries) - window):
        allowed = RATIO * sum(requests[start : start + window]) + SLACK
        assert sum(retries[start : start + window]) <= allowed
