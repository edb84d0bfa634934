"""Test the choice of targets by load and health.

Several instances send requests to the same targets, which run in lock-step.
"""

import random

from bambooring.balancing import const
from bambooring.balancing import messages as balancing
from bambooring.balancing import state
from bambooring.loads import const as loads_const
from bambooring.targets import messages
from bambooring_core import bounds
from bambooring_core import datagrams


def _make_target(id, slots=6, domain='a'):
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
        _make_target(str(number), **changes) for number in range(1, count + 1)
    )
    return balancer


def _choose(balancer, now=0.0, excluded=()):
    choice = balancer.choose(
        balancing.TargetQuery(service='llm', excluded_ids=excluded), now
    )
    return choice.target.id if choice else None


def test_even_spread():
    """Requests go to the targets where the fewest run."""
    balancer = _make_balancer()
    for _ in range(8):
        balancer.add_request(_choose(balancer), 100)
    assert {balancer.count_running(str(number)) for number in range(1, 5)} == {
        2
    }


def test_tokens_decide_between_equals():
    """Of targets with as many requests, the one with fewer tokens wins."""
    balancer = _make_balancer(2)
    balancer.add_request('1', 3000)
    balancer.add_request('2', 200)
    assert _choose(balancer) == '2'


def test_load_of_other_instances_counts():
    """The newest report of each other instance counts, until it expires."""
    balancer = _make_balancer(2)
    peer = _make_balancer(2)
    peer.add_request('1', 10)
    outdated = peer.make_load_report('other', 7, {})
    peer.add_request('1', 10)
    balancer.loads.add_report(peer.make_load_report('other', 7, {}), 0.0)
    balancer.loads.add_report(outdated, 0.1)
    assert balancer.count_running('1') == 2
    assert _choose(balancer, 0.1) == '2'
    expired_s = 0.2 + loads_const.PEER_LOAD_TTL_S
    balancer.choose(balancing.TargetQuery(service='llm'), expired_s)
    assert balancer.count_running('1') == 0


# Sizes that each have room ended the entry instance as their sum had none.
def test_sum_of_huge_prompts_has_room_in_reports():
    """The tokens at a target are reported as the most that has room."""
    balancer = _make_balancer(1)
    highest = 2**bounds.INTEGER_BITS - 1
    for _ in range(2):
        balancer.add_request('1', highest)
    report = balancer.make_load_report('other', 7, {})
    datagram = datagrams.seal(b'key', report)
    assert datagrams.unseal(b'key', datagram).targets[0].tokens == highest


def test_report_of_restarted_instance():
    """A later incarnation's report wins although its sequence starts anew."""
    balancer = _make_balancer(2)
    peer = _make_balancer(2)
    peer.add_request('1', 10)
    for _ in range(5):
        load = peer.make_load_report('other', 7, {})
    balancer.loads.add_report(load, 0.0)
    restarted_peer = _make_balancer(2)
    balancer.loads.add_report(
        restarted_peer.make_load_report('other', 8, {}), 0.1
    )
    assert balancer.count_running('1') == 0


def test_full_targets_get_nothing():
    """No target gets more requests than its slots and the extra ones."""
    balancer = _make_balancer(1, slots=2)
    for _ in range(2 + const.EXTRA_REQUESTS_PER_TARGET):
        balancer.add_request(_choose(balancer), 1)
    assert _choose(balancer) is None


def test_failed_target_is_ejected():
    """Each failure doubles the ejection; a complete response ends it."""
    balancer = _make_balancer(2)
    first_ejection_s = balancer.record_failure('1', 0.0)
    assert _choose(balancer, 0.1) == '2'
    assert balancer.record_failure('1', 1.0) == 2 * first_ejection_s
    balancer.record_success('1', 'llm', 0.5)
    balancer.add_request('2', 1)
    assert _choose(balancer, 1.1) == '1'


def test_failed_service_is_still_tried():
    """If no target is healthy, the choice is among all of them."""
    balancer = _make_balancer(2)
    balancer.record_failure('1', 0.0)
    balancer.record_failure('2', 0.0)
    assert _choose(balancer, 0.1) is not None
    assert _choose(balancer, 0.1, excluded={'1', '2'}) is None


def test_consecutive_refusals_back_off_the_service():
    """A started response resets the count of refusals."""
    balancer = _make_balancer()
    for number in range(const.CONSECUTIVE_REFUSALS_THRESHOLD):
        assert _choose(balancer, 0.0)
        balancer.record_refusal(str(number + 1), 'llm', 0.0)
    assert balancer.is_unavailable('llm', 0.1)
    assert _choose(balancer, 0.1) is None
    after_backoff_s = const.SERVICE_BACKOFF_S + 0.01
    assert _choose(balancer, after_backoff_s)
    balancer.record_refusal('1', 'llm', after_backoff_s)
    assert _choose(balancer, after_backoff_s + 0.1) is None
    balancer.record_response_started('llm')
    after_response_s = 2 * after_backoff_s
    balancer.record_refusal('1', 'llm', after_response_s)
    assert _choose(balancer, after_response_s)


def test_consecutive_errors_count_as_target_failure():
    """Single server errors are put down to the requests."""
    balancer = _make_balancer(2)
    for _ in range(const.CONSECUTIVE_ERRORS_THRESHOLD - 1):
        assert not balancer.record_server_error('1')
    balancer.record_success('1', 'llm', 0.1)
    for _ in range(const.CONSECUTIVE_ERRORS_THRESHOLD - 1):
        assert not balancer.record_server_error('1')
    assert balancer.record_server_error('1')


def test_limit_of_targets_that_report_no_slots():
    """Targets without a reported number of slots are limited like others.

    Their limit fell to the minimum at the first long gap and then ended.
    """
    balancer = _make_balancer(slots=0)

    def adjust(gap_s):
        balancer.record_event_gap('llm', gap_s, 0.1)
        return balancer.adjust_limits().get('llm')

    lowered = const.DEFAULT_SLOTS_PER_TARGET * const.LIMIT_MIN_FACTOR
    assert adjust(0.2) == lowered
    assert adjust(0.01) == lowered + const.LIMIT_INCREMENT
