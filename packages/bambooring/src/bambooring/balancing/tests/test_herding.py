"""Test that instances which choose by the same reports choose differently.

Pattern: at a crest 30 instances send within the delay of the load reports. In
a lock-step group the rank that gets the most slows all others down.
"""

import collections
import random

from bambooring.balancing import messages as balancing
from bambooring.balancing import state
from bambooring.targets import messages

INSTANCES, TARGETS, SLOTS = 30, 72, 5


def _make_balancer(seed):
    """Return a balancer that knows one target with less load than all."""
    balancer = state.Balancer('a', random.Random(seed))
    balancer.set_targets(
        messages.Target(
            id=f't{number}',
            service='llm',
            address=f'10.0.0.{number}:80',
            failure_domain='a',
            slots=SLOTS,
            state=messages.State.READY,
            born_ms=1,
            sequence=1,
            group='g',
            rank=number,
        )
        for number in range(TARGETS)
    )
    loads = [
        messages.TargetLoad(
            target=f't{number}', running=2 if number else 1, tokens=0
        )
        for number in range(TARGETS)
    ]
    balancer.loads.add_report(
        messages.Load(
            sender='other',
            incarnation=1,
            sequence=1,
            targets=loads,
            services=[],
        ),
        0.0,
    )
    return balancer


def _choose(balancer):
    choice = balancer.choose(balancing.TargetQuery(service='llm'), 0.0)
    assert choice is not None
    return choice.target.id


def test_least_loaded_target_is_not_chosen_by_all():
    """It would get a request from each instance, and be the most loaded."""
    chosen = collections.Counter(
        _choose(_make_balancer(seed)) for seed in range(INSTANCES)
    )
    assert max(chosen.values()) <= SLOTS


def test_loaded_targets_are_avoided():
    """A sample is enough to tell full targets from others."""
    balancer = _make_balancer(1)
    for number in range(0, TARGETS, 2):
        for _ in range(2):
            balancer.add_request(f't{number}', 1)
    chosen = [int(_choose(balancer)[1:]) for _ in range(100)]
    assert sum(number % 2 for number in chosen) >= 95
