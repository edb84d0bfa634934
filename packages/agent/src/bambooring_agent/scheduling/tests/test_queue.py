"""Test that the queue is fair by account, weight and priority."""

import collections

import hypothesis
from hypothesis import strategies

from bambooring_agent.scheduling import queue as queue_module


def _push(queue, account, weight=1.0, cost=1.0, priority=0):
    return queue.push(
        account, account=account, weight=weight, cost=cost, priority=priority
    )


def test_flood_does_not_delay_another_account():
    """A small account's request overtakes most of another's flood."""
    queue: queue_module.FairQueue[str] = queue_module.FairQueue()
    for _ in range(50):
        _push(queue, 'large')
    queue.pop()
    _push(queue, 'small')
    assert queue.count_before('small', 0) <= 3
    assert 'small' in [queue.pop(), queue.pop()]


def test_turns_follow_weights():
    """An account of weight 3 gets three times the turns of weight 1."""
    queue: queue_module.FairQueue[str] = queue_module.FairQueue()
    for _ in range(60):
        _push(queue, 'three', weight=3.0)
        _push(queue, 'one')
    turns = collections.Counter(queue.pop() for _ in range(40))
    assert turns['three'] == 30
    assert turns['one'] == 10


def test_larger_priority_goes_first():
    """A larger priority goes first, whatever the start tags are."""
    queue: queue_module.FairQueue[str] = queue_module.FairQueue()
    _push(queue, 'early')
    _push(queue, 'urgent', priority=5)
    assert queue.pop() == 'urgent'


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from('abc'), strategies.booleans()
        )
    )
)
def test_items_are_not_lost_or_repeated(steps):
    """Each item that is pushed and not removed is popped once."""
    queue: queue_module.FairQueue[str] = queue_module.FairQueue()
    kept = 0
    for account, is_removed in steps:
        ticket = _push(queue, account)
        if is_removed:
            queue.remove(ticket)
        else:
            kept += 1
    taken = 0
    while queue.pop() is not None:
        taken += 1
    assert taken == kept
