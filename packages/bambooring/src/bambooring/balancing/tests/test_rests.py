"""Keep requests from targets that asked for a rest."""

import dataclasses
import random

from bambooring.balancing import const
from bambooring.balancing import messages as balancing
from bambooring.balancing import rests as rests_module
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


def _make_balancer(*targets):
    balancer = state.Balancer('a', random.Random(1))
    balancer.set_targets(targets)
    return balancer


def _choose(balancer, now_s, excluded=(), **options):
    choice = balancer.choose(
        balancing.TargetQuery(service='llm', excluded_ids=excluded, **options),
        now_s,
    )
    return choice.target.id if choice else None


def test_rest_lasts_as_long_as_asked():
    """Neither much shorter nor longer, to a fraction of a second."""
    rests, target = rests_module.Rests(), _make_target()
    assert rests.begin(target, 0.25, 10.0) == 0.25
    assert not rests.may_send(target, 10.2)
    assert rests.get_remaining_s(target, 10.2) > 0
    assert rests.may_send(target, 10.26)
    assert rests.get_remaining_s(target, 10.26) == 0


# A late response with a short rest let requests into a long one.
def test_shorter_rest_does_not_shorten_an_earlier_one():
    """The longest of all that were asked for counts."""
    rests, target = rests_module.Rests(), _make_target()
    rests.begin(target, 5.0, 10.0)
    assert rests.begin(target, 1.0, 11.0) == 4.0
    assert not rests.may_send(target, 14.9)
    assert rests.begin(target, 5.0, 12.0) == 5.0


def test_absurd_rest_is_bounded():
    """A target that asked for years is probed after the bound."""
    rests, target = rests_module.Rests(), _make_target()
    assert rests.begin(target, 1e10, 0.0) == const.REST_MAX_S
    assert not rests.may_send(target, const.REST_MAX_S - 1)
    assert rests.may_send(target, const.REST_MAX_S)
    rests.record_request(target, 'a', const.REST_MAX_S)
    assert not rests.may_send(target, const.REST_MAX_S)


# All requests that had waited reached a target at the end of its rest.
def test_one_request_probes_a_target_after_its_rest():
    """The others follow once the target has begun to answer that one."""
    rests, target = rests_module.Rests(), _make_target()
    rests.begin(target, 1.0, 0.0)
    rests.record_request(target, 'probe', 1.0)
    assert not rests.may_send(target, 1.1)
    rests.record_answer(target, 'probe')
    assert rests.may_send(target, 1.1)
    assert not rests.needs_probe(target)


def test_probe_that_ends_without_an_answer_is_followed_by_another():
    """A probe whose caller leaves doesn't exclude the target for good."""
    rests, target = rests_module.Rests(), _make_target()
    rests.begin(target, 1.0, 0.0)
    rests.record_request(target, 'probe', 1.0)
    rests.record_end(target, 'other')
    assert not rests.may_send(target, 1.1)
    rests.record_end(target, 'probe')
    assert rests.may_send(target, 1.1)
    assert rests.needs_probe(target)


def test_answer_to_an_earlier_request_does_not_end_a_rest():
    """Requests that run when a rest begins go on, and say nothing of it."""
    rests, target = rests_module.Rests(), _make_target()
    rests.record_request(target, 'earlier', 0.0)
    rests.begin(target, 3.0, 0.1)
    rests.record_answer(target, 'earlier')
    rests.record_end(target, 'earlier')
    assert not rests.may_send(target, 0.2)


def test_probe_that_is_told_to_rest_begins_a_rest():
    """Each rest costs one request."""
    rests, target = rests_module.Rests(), _make_target()
    rests.begin(target, 1.0, 0.0)
    rests.record_request(target, 'probe', 1.0)
    rests.begin(target, 1.0, 1.1)
    rests.record_end(target, 'probe')
    assert not rests.may_send(target, 2.0)
    assert rests.may_send(target, 2.2)


def test_new_run_begins_without_a_rest():
    """Also under the id and at the address of the one that rests."""
    balancer = _make_balancer(_make_target(born_ms=1))
    balancer.rests.begin(_make_target(born_ms=1), 60.0, 0.0)
    assert _choose(balancer, 1.0) is None
    balancer.set_targets([_make_target(born_ms=2)])
    assert _choose(balancer, 1.0) == '1'
    balancer.set_targets([_make_target('2', 3, address='10.0.0.1:80')])
    assert _choose(balancer, 1.0) == '2'


def test_rest_outlasts_missing_heartbeats():
    """A run that is announced again still rests."""
    target = _make_target()
    balancer = _make_balancer(target)
    balancer.rests.begin(target, 60.0, 0.0)
    balancer.set_targets([])
    balancer.rests.begin(_make_target('2'), 1.0, 1.0)
    balancer.set_targets([target])
    assert _choose(balancer, 2.0) is None


def test_rests_of_runs_that_are_gone_are_dropped():
    """Over days of releases the memory stays bounded."""
    rests = rests_module.Rests()
    for number in range(1000):
        target = _make_target(str(number))
        rests.set_known_runs([runs_module.get_run(target)])
        rests.begin(target, 1.0, float(number))
    assert len(rests._rests) <= 3


def test_resting_target_is_no_fallback():
    """Not even if no other target is healthy."""
    one, other = _make_target('1'), _make_target('2')
    balancer = _make_balancer(one, other)
    balancer.record_failure('2', 0.0)
    balancer.rests.begin(one, 3.0, 0.0)
    assert _choose(balancer, 0.1) == '2'
    assert _choose(balancer, 0.1, excluded=['2']) is None


def test_resting_target_is_no_capacity():
    """Nobody waits for the slots of a target that rests."""
    one, other = _make_target('1'), _make_target('2')
    balancer = _make_balancer(one, other)
    balancer.rests.begin(one, 3.0, 0.0)
    capacity = balancer.get_capacity('llm', 1.0)
    assert (capacity.target_count, capacity.usable_target_count) == (2, 1)
    assert capacity.slots == 6
    assert balancer.get_capacity('llm', 3.0).slots == 12


def test_wait_for_the_first_target_that_is_back():
    """It is known only if all targets rest that could get the request."""
    one, other = _make_target('1'), _make_target('2')
    balancer = _make_balancer(one, other)
    assert balancer.get_rest_wait_s('llm', 0.0) is None
    balancer.rests.begin(one, 3.0, 0.0)
    assert balancer.get_rest_wait_s('llm', 0.0) is None
    assert balancer.get_rest_wait_s('llm', 0.0, ['2']) == 3.0
    assert balancer.get_rest_wait_s('llm', 0.0, ['1', '2']) is None
    balancer.rests.begin(other, 2.0, 0.0)
    assert balancer.get_rest_wait_s('llm', 0.5) == 1.5
    assert balancer.get_rest_wait_s('other', 0.5) is None


def test_request_that_was_refused_probes_no_target_while_others_have_room():
    """Of a request at most one attempt is spent as a probe."""
    one, other = _make_target('1'), _make_target('2')
    balancer = _make_balancer(one, other)
    balancer.add_request('2', 10)
    balancer.rests.begin(one, 1.0, 0.0)
    assert _choose(balancer, 1.0) == '1'
    assert _choose(balancer, 1.0, may_probe=False) == '2'
    assert _choose(balancer, 1.0, ['2'], may_probe=False) == '1'


# Requests met one resting target after the other, since these had no load.
def test_request_that_was_refused_goes_to_a_target_that_runs_others():
    """If there is none, it goes to any."""
    targets = [_make_target(str(number)) for number in range(1, 5)]
    balancer = _make_balancer(*targets)
    balancer.add_request('4', 10)
    balancer.add_request('4', 10)
    assert _choose(balancer, 0.0) != '4'
    assert _choose(balancer, 0.0, prefers_serving=True) == '4'
    assert _choose(balancer, 0.0, ['4'], prefers_serving=True) != '4'
    balancer.rests.begin(targets[3], 3.0, 0.0)
    assert _choose(balancer, 0.0, prefers_serving=True) is not None


def test_change_of_an_announcement_does_not_end_a_rest():
    """A heartbeat of the same run, as of a group, says nothing of rests."""
    target = _make_target()
    balancer = _make_balancer(target)
    balancer.rests.begin(target, 3.0, 0.0)
    balancer.set_targets([dataclasses.replace(target, sequence=9)])
    assert _choose(balancer, 1.0) is None


# A late refusal prolonged a rest, and the probe's answer ended it early.
def test_answer_to_a_probe_does_not_end_a_rest_begun_since():
    """What was asked for while the probe was under way is newer."""
    rests, target = rests_module.Rests(), _make_target()
    rests.set_known_runs([runs_module.get_run(target)])
    rests.begin(target, 1.0, 0.0)
    rests.record_request(target, 'probe', 1.0)
    rests.begin(target, 3.0, 1.1)
    rests.record_answer(target, 'probe')
    rests.record_end(target, 'probe')
    assert not rests.may_send(target, 2.0)
    assert rests.may_send(target, 4.2)


# A target that had rested got no request for good while retries were short.
def test_target_is_probed_some_time_after_its_rest_without_spare_retries():
    """One that recovered is used again though retries stay short."""
    rested, other = _make_target('1'), _make_target('2')
    balancer = _make_balancer(rested, other)
    balancer.rests.begin(rested, 1.0, 0.0)
    chosen = {
        _choose(balancer, float(now_s), may_probe=False)
        for now_s in range(1, 3600)
    }
    assert chosen == {'1', '2'}


# A request refused once waited in a full target's queue beside an idle one.
def test_refused_request_goes_to_no_full_target_beside_an_idle_one():
    """Targets that run something go first only while they have a slot."""
    full, idle = _make_target('1'), _make_target('2')
    balancer = _make_balancer(full, idle)
    for _ in range(full.slots):
        balancer.add_request('1', 10)
    assert _choose(balancer, 0.0, prefers_serving=True) == '2'


# The slots of a target that waits for its probe's answer counted as free.
def test_target_under_probe_is_no_capacity():
    """It takes nothing until it has begun to answer the probe."""
    target = _make_target()
    balancer = _make_balancer(target)
    balancer.rests.begin(target, 1.0, 0.0)
    balancer.rests.record_request(target, 'probe', 1.0)
    assert _choose(balancer, 1.1) is None
    assert not balancer.get_capacity('llm', 1.1).usable_target_count
