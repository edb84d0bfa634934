"""Send nothing to runs of targets that have said that they leave."""

import dataclasses
import random

from bambooring.balancing import const
from bambooring.balancing import leaving as leaving_module
from bambooring.balancing import messages as balancing
from bambooring.balancing import runs as runs_module
from bambooring.balancing import state
from bambooring.targets import messages


def _make_target(id='1', born_ms=1, **changes):
    values = {
        'id': id,
        'service': 'llm',
        'address': f'10.0.0.{id}:80',
        'failure_domain': 'a',
        'slots': 6,
        'state': messages.State.READY,
        'born_ms': born_ms,
        'sequence': 1,
    } | changes
    return messages.Target(**values)


def _choose(balancer, now_s=0.0):
    choice = balancer.choose(balancing.TargetQuery(service='llm'), now_s)
    return choice.target.id if choice else None


# A target that had said that it leaves got requests until its announcement.
def test_leaving_target_gets_no_request():
    """Also as the last one left, and whatever is announced of it later."""
    target = _make_target()
    balancer = state.Balancer('a', random.Random(1))
    balancer.set_targets([target])
    assert balancer.leaving.mark(target, 0.0)
    assert not balancer.leaving.mark(target, 1.0)
    assert _choose(balancer) is None
    assert balancer.get_capacity('llm', 0.0).target_count == 0
    assert not balancer.has_target(target)
    balancer.set_targets([])
    balancer.set_targets([dataclasses.replace(target, sequence=99)])
    assert _choose(balancer, 3600.0) is None


def test_new_run_of_a_leaving_target_gets_requests():
    """Under the same id, and at the same address under another."""
    balancer = state.Balancer('a', random.Random(1))
    balancer.leaving.mark(_make_target(), 0.0)
    balancer.set_targets([_make_target(born_ms=2)])
    assert _choose(balancer) == '1'
    assert balancer.has_target(_make_target(born_ms=2))
    balancer.set_targets([_make_target('2', address='10.0.0.1:80')])
    assert _choose(balancer) == '2'


def test_leaving_target_is_not_waited_for():
    """All the others rest, so callers are told when these are back."""
    balancer = state.Balancer('a', random.Random(1))
    balancer.set_targets([_make_target('1'), _make_target('2')])
    balancer.leaving.mark(_make_target('1'), 0.0)
    balancer.rests.begin(_make_target('2'), 3.0, 0.0)
    assert balancer.get_rest_wait_s('llm', 1.0) == 2.0


def test_marks_of_runs_that_are_gone_are_dropped():
    """Over days of releases the memory stays bounded."""
    runs = leaving_module.LeavingRuns()
    for number in range(2000):
        target = _make_target(str(number))
        runs.set_known_runs([runs_module.get_run(target)])
        runs.mark(target, float(number))
    assert len(runs._marked_s) <= const.LEAVING_RETENTION_S + 2
