"""Send requests to cold targets by permits only."""

import random

from bambooring.balancing import const
from bambooring.balancing import messages as balancing
from bambooring.balancing import permits
from bambooring.balancing import state
from bambooring.policy import messages as policy
from bambooring.targets import messages
from bambooring_core import clock as clock_module
from bambooring_core.permits import const as permits_const
from bambooring_core.permits import messages as permit_messages

TTL_S = permits_const.PERMIT_TTL_S


def _make_target(id, domain='a', cold_ms=60_000, **changes):
    values = {
        'id': id,
        'service': 'llm',
        'address': f'10.0.0.{id}:80',
        'failure_domain': domain,
        'slots': 5,
        'state': messages.State.READY,
        'born_ms': 1,
        'sequence': 1,
        'cold_ms': cold_ms,
    } | changes
    return messages.Target(**values)


class _Instance:
    """An instance whose machine's clock is ahead of the reactor's by 1000."""

    def __init__(self, *targets, limit=39):
        self.clock = clock_module.ManualClock(1000.0)
        self.balancer = state.Balancer(
            'a', random.Random(1), boot_clock=self.clock
        )
        self.cold = self.balancer.cold
        self.cold.set_limits({'llm': limit})
        self.cold.on_demand = lambda: None
        for target in targets:
            self.cold.record_announcement(target, 0.0)
        self.balancer.set_targets(targets)

    def choose(self, now_s=0.0):
        """Return the id of the chosen target, None if there is none."""
        choice = self.balancer.choose(
            balancing.TargetQuery(service='llm'), now_s
        )
        return choice.target.id if choice else None

    def takes_valid_permit(self, target):
        """Take a permit, and return whether it allows to send."""
        permit = self.cold.take_permit(target)
        return permit is not None and permit.is_valid()

    def ask(self, queued=1, now_s=0.0):
        """Return the requests for permits that a look brings about."""
        self.choose(now_s)
        requests = self.cold.make_requests(
            sender='s', incarnation=7, queued={'llm': queued}, now_s=now_s
        )
        return [request for _, request in requests]

    def grant(self, request, count, now_s=0.0, wait_ms=0):
        """Apply the answer to a request for permits."""
        grant = permit_messages.PermitGrant(
            sender=request.sender,
            incarnation=request.incarnation,
            sequence=request.sequence,
            target_id=request.target_id,
            count=count,
            wait_ms=wait_ms,
        )
        return self.cold.apply_grant(grant, now_s, random.Random(1))


def test_limit_of_a_service():
    """23 a second, times 1.5, plus 5; none if rate or settings are 0."""
    service = policy.Service(
        name='llm', max_connections=0, slots=5, cold_requests_per_s=23.0
    )
    assert permits.compute_limit(service, 1.5, 5.0) == 39
    assert permits.compute_limit(service, 0.0, 0.0) == 0
    service.cold_requests_per_s = 0.0
    assert permits.compute_limit(service, 1.5, 5.0) == 0


def test_cold_target_is_used_by_permits_only():
    """Each attempt takes one; a look at the choice takes none."""
    target = _make_target('1')
    instance = _Instance(target)
    (request,) = instance.ask(queued=2)
    assert request.wanted == 2
    assert instance.grant(request, 2)
    for _ in range(2):
        assert instance.choose() == instance.choose() == '1'
        assert instance.takes_valid_permit(target)
    assert instance.choose() is None
    assert not instance.takes_valid_permit(target)


def test_warm_target_is_chosen_without_a_permit():
    """Requests go to a fuller target that needs no permit."""
    warm = _make_target('2', cold_ms=0)
    instance = _Instance(_make_target('1'), warm)
    instance.balancer.add_request('2', 1)
    assert instance.choose() == '2'
    assert instance.cold.take_permit(warm) is None
    assert [request.target_id for request in instance.ask()] == ['1']


def test_without_a_limit_nothing_changes():
    """A deployment whose settings name no limit."""
    instance = _Instance(_make_target('1'), limit=0)
    assert instance.choose() == '1'
    assert not instance.ask()


def test_suspended_instance_holds_expired_permits():
    """The reactor's clock stands still while the machine is suspended."""
    target = _make_target('1')
    instance = _Instance(target)
    (request,) = instance.ask()
    instance.grant(request, 1)
    permit = instance.cold.take_permit(target)
    assert permit is not None
    (request,) = instance.ask(now_s=0.2)
    instance.grant(request, 1)
    instance.clock.advance(TTL_S)
    assert instance.choose(0.2) is None
    assert not permit.is_valid()


def test_repeated_and_late_grants():
    """The agent has counted each of its permits once."""
    instance = _Instance(_make_target('1'), _make_target('2'))
    (request,) = instance.ask()
    assert instance.grant(request, 1)
    assert not instance.grant(request, 1)
    target = next(
        target
        for target in instance.balancer.known.pool.list_targets('llm')
        if target.id == request.target_id
    )
    instance.cold.take_permit(target)
    (request,) = instance.ask(now_s=0.2)
    instance.clock.advance(TTL_S)
    assert not instance.grant(request, 1, now_s=0.2)
    assert instance.choose(0.2) is None


def test_permits_are_asked_for_by_need():
    """Few targets at once, those in the own domain first, none too often."""
    instance = _Instance(
        *(_make_target(str(i), 'ab'[i % 2]) for i in range(8))
    )
    requests = instance.ask(queued=9)
    assert [request.wanted for request in requests] == [4, 4, 1]
    assert {int(request.target_id) % 2 for request in requests} == {0}
    assert not instance.ask(queued=9, now_s=0.01)


def test_refused_instance_waits_as_told():
    """72 instances would ask again and again for what is used up."""
    instance = _Instance(_make_target('1'))
    (request,) = instance.ask()
    instance.grant(request, 0, wait_ms=500)
    assert not instance.ask(now_s=0.49)
    assert instance.ask(now_s=0.76)


def test_target_without_an_agent_is_no_capacity():
    """Requests would wait for a permit that nobody grants."""
    instance = _Instance(_make_target('1'))
    for i in range(const.UNANSWERED_ASKS_LIMIT + 1):
        assert instance.balancer.get_capacity('llm', 0.0).usable_target_count
        now_s = i * 0.11
        instance.clock.advance(0.11)
        assert instance.ask(now_s=now_s)
    assert not instance.balancer.get_capacity('llm', 1).usable_target_count
    assert not instance.ask(now_s=now_s + 0.9)
    instance.clock.advance(1.1)
    (request,) = instance.ask(now_s=now_s + 1.1)
    instance.grant(request, 1)
    assert instance.balancer.get_capacity('llm', 1).usable_target_count


def test_without_a_port_of_agents_cold_targets_are_no_capacity():
    """Requests would wait though nobody can be asked."""
    instance = _Instance(_make_target('1'))
    instance.cold.on_demand = None
    assert instance.choose() is None
    assert not instance.balancer.get_capacity('llm', 0.0).usable_target_count


def test_target_that_was_warm_is_left_alone_first():
    """What was sent without permits counts within the same second.

    Other instances learn only from the next heartbeat what a response said.
    """
    warm = _make_target('1', cold_ms=0)
    for record, delay_s in (
        (
            lambda cold: cold.record_announcement(_make_target('1'), 1.0),
            const.COLD_AGAIN_DELAY_S,
        ),
        (
            lambda cold: cold.record_statement(warm, 60_000, 1.0),
            const.COLD_AGAIN_DELAY_S + const.COLD_NEWS_DELAY_S,
        ),
    ):
        instance = _Instance(warm)
        assert instance.choose() == '1'
        record(instance.cold)
        assert instance.choose(1.0) is None
        assert not instance.ask(now_s=0.99 + delay_s)
        assert instance.ask(now_s=1.01 + delay_s)


def test_announcement_from_before_a_statement():
    """A late announcement must not make a target warm that said cold."""
    warm = _make_target('1', cold_ms=0)
    instance = _Instance(warm)
    instance.cold.record_statement(warm, 9000, 1.0)
    instance.cold.record_announcement(warm, 1.1)
    assert instance.choose(1.2) is None
    instance.cold.record_announcement(warm, 1.1 + const.COLD_STATEMENT_HOLD_S)
    assert instance.choose(5.0) == '1'


def test_target_is_cold_for_its_time_and_a_margin():
    """Never for less than announced; one change each is logged."""
    instance = _Instance(_make_target('1', cold_ms=2000))
    assert instance.choose(2.4) is None
    assert instance.choose(2.0 + const.COLD_MARGIN_S) == '1'
    assert [change.is_cold for change in instance.cold.take_changes()] == [
        False
    ]
    assert not instance.cold.take_changes()


def test_cold_target_counts_as_slower():
    """With equal load the warm one is chosen though the cold has permits."""
    instance = _Instance(_make_target('1'))
    (request,) = instance.ask(queued=2)
    instance.grant(request, 2)
    instance.balancer.set_targets(
        [_make_target('1'), _make_target('2', cold_ms=0)]
    )
    assert instance.choose() == '2'


def test_capacity_of_a_cold_target():
    """Short requests would be let into a queue that permits can't empty."""
    instance = _Instance(_make_target('1'))
    assert instance.balancer.get_capacity('llm', 0.0).slots == 5
    for _ in range(200):
        instance.balancer.record_success('1', 'llm', 0.05)
    assert instance.balancer.get_capacity('llm', 0.0).slots == 1
