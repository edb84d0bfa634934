"""Test the bound on the retries of all entry instances together.

While a service fails for a long time, every instance retries as often as its
own budget allows, and counts only its own retries. In any window all of them
together must stay within what the platform allows for a service: a share of
the requests and some slack.
"""

import pytest

from bambooring.forwarding.tests import harness as harness_module
from bambooring.gateway import entry
from bambooring.gateway import messages as gateway
from bambooring.routing import budget as budget_module
from bambooring_core import clock as clock_module
from bambooring_core import reactor as reactor_module

WINDOW_S = 10.0
RETRY_RATIO, RETRY_SLACK = 0.2, 200.0
STEP_S = 0.1
DURATION_S = 40.0


def _make_entry(reactor, number, instances):
    address = '127.0.0.1:0'
    entry_instance = entry.GatewayEntry(
        gateway.Settings(
            role='entry',
            cluster='test',
            instance=f'entry-{number}',
            failure_domain='a',
            link_address=address,
            seeds=[],
            may_bootstrap=False,
            callers_address=address,
            ready_address=address,
            retry_ratio=RETRY_RATIO,
            retry_window_s=WINDOW_S,
            retry_slack=RETRY_SLACK,
        ),
        reactor=reactor,
        dialect=harness_module.Dialect(),
        incarnation=number + 1,
    )
    entry_instance._set_retry_budget(instances)
    return entry_instance


@pytest.mark.parametrize('instances', [1, 18, 70])
def test_retries_of_all_instances_are_bounded(instances):
    """The retries of all instances in any window stay within the bound."""
    clock = clock_module.ManualClock()
    with reactor_module.Reactor(clock) as reactor:
        entries = [
            _make_entry(reactor, number, instances)
            for number in range(instances)
        ]
        requests, retries = [], []
        for _ in range(round(DURATION_S / STEP_S)):
            clock.advance(STEP_S)
            requested = retried = 0
            for entry_instance in entries:
                entry_instance.forwarder._budget.deposit()
                requested += 1
                while entry_instance.forwarder.spend_retry('test'):
                    retried += 1
            requests.append(requested)
            retries.append(retried)
    window = round(WINDOW_S / STEP_S)
    for start in range(len(retries) - window):
        allowed = (
            RETRY_RATIO * sum(requests[start : start + window]) + RETRY_SLACK
        )
        assert sum(retries[start : start + window]) <= allowed


@pytest.mark.parametrize('instances', [1, 18, 98, 250, 400, 900])
def test_retries_of_a_large_fleet_with_few_requests(instances):
    """Also bursts of hundreds of instances at once stay within the bound.

    Pattern: a service fails at an hour with little traffic, so that nearly
    all retries come from the slack.
    """
    slack, requests_a_step = 448.0, 4
    rates = budget_module.share_rates(
        slack=slack, window_s=WINDOW_S, instance_count=instances
    )
    budgets = []
    for _ in range(instances):
        budget = budget_module.RetryBudget(0.0, initial_tokens=0.0)
        budget.set_rates(
            ratio=RETRY_RATIO / 2,
            refill_per_s=rates.refill_per_s,
            capacity=rates.capacity,
        )
        budgets.append(budget)
    retries = []
    for step in range(round(4 * DURATION_S / STEP_S)):
        now_s = 1000.0 + step * STEP_S
        for number in range(requests_a_step):
            budgets[(step + number) % instances].deposit()
        is_failing = step % 300 >= 150
        retries.append(
            sum(
                budget.try_withdraw(now_s)
                for budget in budgets
                for _ in range(3 if is_failing else 0)
            )
        )
    window = round(WINDOW_S / STEP_S)
    allowed = RETRY_RATIO * requests_a_step * window + slack
    for start in range(len(retries) - window):
        assert sum(retries[start : start + window]) <= allowed
    assert instances > slack or sum(retries)
