"""Spread the load of many instances over targets in lock-step."""

import random

from bambooring.balancing import const
from bambooring.balancing import state
from bambooring.targets import messages


def _make(id, slots=6, domain='a'):
    return messages.Target(
        id=id,
        service='llm',
        address=f'10.0.0.{id}:80',
        failure_domain=domain,
        slots=slots,
        state=messages.State.READY,
        born_ms=1,
        sequence=1,
    )


def _make_balancer(count=4, **changes):
    balancer = state.Balancer('a', random.Random(1))
    balancer.set_targets(
        _make(str(number), **changes) for number in range(1, count + 1)
    )
    return balancer


def _choose(balancer, now=0.0, excluded=()):
    choice = balancer.choose('llm', now, excluded)
    return choice.target.id if choice else None


def test_even_spread():
    """Requests go where the fewest run, so that no rank is slowest."""
    balancer = _make_balancer()
    for _ in range(8):
        balancer.add_request(_choose(balancer), 100)
    assert {balancer.count_running(str(one)) for one in range(1, 5)} == {2}


def test_tokens_decide_between_equals():
    """Of targets with as many requests the one with fewer tokens wins."""
    balancer = _make_balancer(2)
    balancer.add_request('1', 3000)
    balancer.add_request('2', 200)
    assert _choose(balancer) == '2'


def test_load_of_other_instances_counts():
    """What others have running is known from their newest reports."""
    balancer = _make_balancer(2)
    other = _make_balancer(2)
    other.add_request('1', 10)
    old = other.make_load_report('other', 7, {})
    other.add_request('1', 10)
    balancer.add_peer_report(other.make_load_report('other', 7, {}), 0.0)
    balancer.add_peer_report(old, 0.1)
    assert balancer.count_running('1') == 2
    assert _choose(balancer, 0.1) == '2'
    late = 0.2 + const.PEER_LOAD_TTL_S
    balancer.choose('llm', late)
    assert balancer.count_running('1') == 0


def test_restarted_instance_counts_anew():
    """A report of a later run replaces those of the run before."""
    balancer = _make_balancer(2)
    first = _make_balancer(2)
    first.add_request('1', 10)
    for _ in range(5):
        load = first.make_load_report('other', 7, {})
    balancer.add_peer_report(load, 0.0)
    again = _make_balancer(2)
    balancer.add_peer_report(again.make_load_report('other', 8, {}), 0.1)
    assert balancer.count_running('1') == 0


def test_full_targets_get_nothing():
    """No target gets more than its slots and one ahead."""
    balancer = _make_balancer(1, slots=2)
    for _ in range(2 + const.EXTRA_REQUESTS_PER_TARGET):
        balancer.add_request(_choose(balancer), 1)
    assert _choose(balancer) is None


def test_failed_target_is_passed_over():
    """A target that failed rests, longer each time, until it answers."""
    balancer = _make_balancer(2)
    first = balancer.record_failure('1', 0.0)
    assert _choose(balancer, 0.1) == '2'
    assert balancer.record_failure('1', 1.0) == 2 * first
    balancer.record_success('1', 'llm', 0.5)
    balancer.add_request('2', 1)
    assert _choose(balancer, 1.1) == '1'


def test_failed_service_is_still_tried():
    """If no target is sound, the choice is among all of them."""
    balancer = _make_balancer(2)
    balancer.record_failure('1', 0.0)
    balancer.record_failure('2', 0.0)
    assert _choose(balancer, 0.1) is not None
    assert _choose(balancer, 0.1, excluded={'1', '2'}) is None


def test_broken_group_pauses_and_comes_back():
    """Refusals in a row pause the service; an answer ends the count."""
    balancer = _make_balancer()
    for number in range(const.CONSECUTIVE_REFUSALS_THRESHOLD):
        assert _choose(balancer, 0.0)
        balancer.record_refusal(str(number + 1), 'llm', 0.0)
    assert balancer.is_unavailable('llm', 0.1)
    assert _choose(balancer, 0.1) is None
    later = const.SERVICE_BACKOFF_S + 0.01
    assert _choose(balancer, later)
    balancer.record_refusal('1', 'llm', later)
    assert _choose(balancer, later + 0.1) is None
    balancer.record_response_started('llm')
    again = 2 * later
    balancer.record_refusal('1', 'llm', again)
    assert _choose(balancer, again)


def test_errors_in_a_row_speak_against_a_target():
    """Single failures belong to requests, a row of them to the target."""
    balancer = _make_balancer(2)
    for _ in range(const.CONSECUTIVE_ERRORS_THRESHOLD - 1):
        assert not balancer.record_server_error('1')
    balancer.record_success('1', 'llm', 0.1)
    for _ in range(const.CONSECUTIVE_ERRORS_THRESHOLD - 1):
        assert not balancer.record_server_error('1')
    assert balancer.record_server_error('1')
