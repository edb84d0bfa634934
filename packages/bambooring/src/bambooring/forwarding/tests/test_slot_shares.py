"""Test that instances don't all send a request to the same freed slot.

Pattern: requests wait at all instances after an outage or at a crest, and each
freed slot becomes known to all of them within a moment.
"""

import random

from bambooring.balancing import state as balancing
from bambooring.forwarding import const
from bambooring.forwarding import slot_shares
from bambooring.targets import messages as targets

INSTANCES = 30
SLOTS = 5


def _make_balancer(running, waiting_elsewhere):
    """Return a balancer that knows one target and one other instance."""
    balancer = balancing.Balancer('a', random.Random(1))
    target = targets.Target(
        id='t0',
        service='llm',
        address='10.0.0.1:80',
        failure_domain='a',
        slots=SLOTS,
        state=targets.State.READY,
        born_ms=1,
        sequence=1,
    )
    balancer.set_targets([target])
    balancer.loads.add_report(
        targets.Load(
            sender='other',
            incarnation=1,
            sequence=1,
            targets=[
                targets.TargetLoad(target='t0', running=running, tokens=0)
            ],
            services=[
                targets.ServiceLoad(service='llm', waiting=waiting_elsewhere)
            ],
        ),
        0.0,
    )
    return balancer


def _make_shares(*, running, waiting_elsewhere, seed=1):
    return slot_shares.SlotShares(
        _make_balancer(running, waiting_elsewhere), random.Random(seed)
    )


def test_one_freed_slot_draws_few_requests():
    """Without shares each of the instances would send one to it."""
    total = 0
    for seed in range(INSTANCES):
        shares = _make_shares(
            running=SLOTS, waiting_elsewhere=INSTANCES - 1, seed=seed
        )
        total += shares.draw('llm', 1, 0.0)
    # One slot, and what chance adds to it.
    assert total <= 4


def test_share_is_taken_once_before_others_know():
    """A burst of load reports doesn't multiply the share."""
    shares = _make_shares(running=0, waiting_elsewhere=6)
    first = shares.draw('llm', 6, 0.0)
    assert first == (SLOTS + 1) // 2
    assert shares.draw('llm', 3, const.SLOT_ROUND_S / 2) == 0
    assert shares.draw('llm', 3, const.SLOT_ROUND_S) > 0


def test_own_freed_slot_is_used_at_once():
    """A slot that others don't know of yet isn't left empty."""
    shares = _make_shares(running=SLOTS, waiting_elsewhere=29)
    shares.draw('llm', 4, 0.0)
    shares.record_freed('llm')
    assert shares.draw('llm', 4, const.SLOT_ROUND_S / 2) == 1


def test_nothing_is_held_back_when_nobody_else_waits():
    """A calm fleet isn't slowed down."""
    shares = _make_shares(running=0, waiting_elsewhere=0)
    assert shares.draw('llm', 4, 0.0) == 4
    assert shares.draw('llm', 4, 0.0) == 4
