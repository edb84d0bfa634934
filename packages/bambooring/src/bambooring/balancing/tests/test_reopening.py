"""Test how many are served on time after a model group was out.

Pattern: a failure domain is cut off at a crest, the group that spans all
domains stands for seconds, and its callers wait. It opens with the first map,
by which a few ranks do most of the work, and gets a fitting map only in a
few steps. If all ranks were filled at once, the passes would be too long for
all streams until the last step.
"""

import collections
import random

from bambooring.balancing import const
from bambooring.balancing import messages as balancing
from bambooring.balancing import state
from bambooring.targets import messages

RANKS, SLOTS = 30, 3
ACCEPTED_GAP_S = 0.2
# How much longer the slowest rank takes than with an even load, by the number
# of maps since the opening, and how many passes a switch of the map takes.
IMBALANCES = [3.1, 1.7, 1.4, 1.2, 1.1]
PASSES_PER_MAP = 4
STEPS_PER_PASS = 6
STEP_S, STEP_PER_REQUEST_S = 0.00455, 0.002
# Reading a prompt, and how much longer passes take while experts are copied.
READ_S = 0.014
COPYING_FACTOR = 1.15
EVENTS = 15
DURATION_S = 4.0


def _make_targets(epoch, is_open):
    return [
        messages.Target(
            id=str(rank),
            service='llm',
            address=f'10.0.0.{rank}:80',
            failure_domain='a',
            slots=SLOTS,
            state=messages.State.READY,
            born_ms=1,
            sequence=epoch,
            group='g',
            group_epoch=epoch,
            rank=rank,
            is_group_open=is_open,
        )
        for rank in range(RANKS)
    ]


def _fill(balancer, now_s, running):
    while choice := balancer.choose(
        balancing.TargetQuery(service='llm'), now_s
    ):
        balancer.add_request(choice.target.id, 1)
        running.append([choice.target.id, 0, True])


def _count_most(target_ids):
    return max(collections.Counter(target_ids).values(), default=0)


def _compute_pass_s(running, pass_number):
    """Return the duration of a pass in seconds."""
    maps = min(pass_number // PASSES_PER_MAP, len(IMBALANCES) - 1)
    imbalance = IMBALANCES[maps]
    writing = _count_most(target_id for target_id, _, _ in running)
    reading = _count_most(
        target_id for target_id, events, _ in running if not events
    )
    step_s = STEP_S + STEP_PER_REQUEST_S * writing * imbalance
    pass_s = STEPS_PER_PASS * step_s + READ_S * reading * imbalance
    if maps < len(IMBALANCES) - 1:
        pass_s *= COPYING_FACTOR
    return pass_s


def _serve(balancer):
    """Serve waiting callers for some seconds; return how many are on time."""
    now_s, next_adjustment_s = 0.0, const.LIMIT_ADJUST_INTERVAL_S
    running: list[list] = []
    served = on_time = pass_number = 0
    while now_s < DURATION_S:
        _fill(balancer, now_s, running)
        pass_s = _compute_pass_s(running, pass_number)
        pass_number += 1
        now_s += pass_s
        for request in list(running):
            request[1] += 1
            if request[1] > 1:
                request[2] &= pass_s <= ACCEPTED_GAP_S
                balancer.record_event_gap('llm', pass_s, ACCEPTED_GAP_S)
            if request[1] >= EVENTS:
                running.remove(request)
                balancer.remove_request(request[0], 1)
                served += 1
                on_time += request[2]
        while next_adjustment_s <= now_s:
            balancer.adjust_limits()
            next_adjustment_s += const.LIMIT_ADJUST_INTERVAL_S
    return served, on_time


def test_streams_after_an_outage_are_on_time():
    """Nearly all that is served in the first seconds is on time."""
    balancer = state.Balancer('a', random.Random(1))
    balancer.set_targets(_make_targets(1, False))
    for _ in range(20):
        balancer.adjust_limits()
    balancer.set_targets(_make_targets(2, True))
    served, on_time = _serve(balancer)
    assert on_time >= 0.9 * served
    assert served >= RANKS * SLOTS


def test_limit_is_raised_again():
    """A group that opens with short passes is soon filled as before."""
    balancer = state.Balancer('a', random.Random(1))
    balancer.set_targets(_make_targets(1, False))
    balancer.set_targets(_make_targets(2, True))
    for _ in range(8):
        balancer.record_event_gap('llm', 0.05, ACCEPTED_GAP_S)
        balancer.adjust_limits()
    running: list[list] = []
    _fill(balancer, 1.0, running)
    assert len(running) >= RANKS * SLOTS


def test_calm_service_is_not_limited():
    """Nothing changes for a group that was not out."""
    balancer = state.Balancer('a', random.Random(1))
    balancer.set_targets(_make_targets(1, True))
    balancer.set_targets(_make_targets(1, True))
    running: list[list] = []
    _fill(balancer, 0.0, running)
    assert len(running) == RANKS * (SLOTS + const.EXTRA_REQUESTS_PER_TARGET)
