"""Test what instances conclude from crashes, without any network."""

import itertools
import random

import hypothesis
from hypothesis import strategies
import pytest

from bambooring.crashes import causes as causes_module
from bambooring.crashes import const
from bambooring.crashes import state

CRASH_IDS = itertools.count(1)


def make_causes(parts, body=b''):
    """Return the causes of a request with some prompt parts."""
    return causes_module.compute_causes(
        prompt_parts=tuple(parts.split()),
        method='POST',
        request_target='/a',
        account='x',
        body=body or parts.encode(),
    )


class Fleet:
    """Some instances whose news reach each other at once, or when told to."""

    def __init__(self, size):
        self.now_s = 100.0
        self.ledgers = [state.CrashLedger() for _ in range(size)]
        self.undelivered = []
        self.is_connected = True

    def tell(self, sender, news):
        """Send news of one instance to all others."""
        for ledger in self.ledgers:
            if ledger is not sender and not news.is_empty:
                self.undelivered.append((ledger, news))
        while self.is_connected and self.undelivered:
            receiver, news = self.undelivered.pop(0)
            merged = receiver.merge(news, self.now_s)
            self.tell(receiver, merged.reply)

    def answer(self, parts, *, at=0):
        """Let a target begin to answer a request."""
        ledger = self.ledgers[at]
        self.tell(ledger, ledger.record_answer(make_causes(parts), self.now_s))

    def progress(self, parts, *, at=0):
        """Let an answer go on for some time."""
        ledger = self.ledgers[at]
        causes = make_causes(parts)
        self.tell(ledger, ledger.record_progress(causes, self.now_s))

    def crash(self, *requests, at=0, crash_id=None, is_group=True):
        """Let a target crash with requests of one instance on board."""
        ledger = self.ledgers[at]
        crash_id = crash_id or next(CRASH_IDS)
        for parts in requests:
            news = ledger.record_crash(
                crash_id,
                make_causes(parts),
                is_group=is_group,
                now_s=self.now_s,
            )
            self.tell(ledger, news)

    def decide(self, parts):
        """Return the decision on a request, the same at all instances."""
        decisions = {
            ledger.decide(make_causes(parts), self.now_s).status
            for ledger in self.ledgers
        }
        assert len(decisions) == 1
        return decisions.pop()

    def try_request(self, parts, *, at=0):
        """Begin a probe and tell all others."""
        ledger = self.ledgers[at]
        decision = ledger.decide(make_causes(parts), self.now_s)
        assert decision.status is state.Status.PROBE
        self.tell(ledger, ledger.begin_probe(decision.key, self.now_s))


@pytest.fixture
def fleet():
    """Return instances that have answered some requests for a while."""
    result = Fleet(4)
    for number in range(20):
        result.answer(f'system own{number}', at=number % 4)
        result.now_s += 0.5
    return result


# Requests with one part in common crashed target after target, although no
# two were alike: only the whole request was known again.
def test_new_part_is_quarantined_at_all_instances_after_one_crash(fleet):
    """The parts that were answered before are not."""
    fleet.crash('system deadly one')
    assert fleet.decide('system deadly two') is state.Status.QUARANTINED
    assert fleet.decide('other deadly three') is state.Status.QUARANTINED
    assert fleet.decide('system two') is state.Status.CLEAR
    assert fleet.decide('system deadly') is state.Status.CLEAR


def test_part_that_crashes_again_is_not_tried_for_long(fleet):
    """At most two crashes: the first one, and that of the probe."""
    fleet.crash('system deadly one')
    fleet.now_s += const.GROUP_QUARANTINE_S
    fleet.try_request('system deadly two')
    assert fleet.decide('system deadly two') is state.Status.PROBE_BUSY
    fleet.crash('system deadly two')
    for _ in range(59):
        assert fleet.decide('system deadly 3') is state.Status.QUARANTINED
        fleet.now_s += const.LATER_QUARANTINE_S / 60
    fleet.now_s += const.LATER_QUARANTINE_S / 60
    assert fleet.decide('system deadly 3') is state.Status.PROBE


def test_sound_part_is_cleared_by_its_probe(fleet):
    """A target that was lost otherwise costs a new part one quarantine."""
    fleet.crash('system new one')
    fleet.now_s += const.GROUP_QUARANTINE_S
    fleet.try_request('system new two', at=2)
    assert fleet.decide('system new three') is state.Status.PROBE_BUSY
    fleet.answer('system new two', at=2)
    assert fleet.decide('system new three') is state.Status.CLEAR


def test_probe_without_result_makes_room_for_the_next(fleet):
    """A refused probe ends at once, one that is lost after its timeout."""
    fleet.crash('system new one')
    fleet.now_s += const.GROUP_QUARANTINE_S
    fleet.try_request('system new two')
    key = make_causes('new x').shared_parts[0]
    news = fleet.ledgers[0].end_probe(key, fleet.now_s)
    fleet.tell(fleet.ledgers[0], news)
    fleet.try_request('system new three')
    fleet.now_s += const.PROBE_TIMEOUT_S
    assert fleet.decide('system new four') is state.Status.PROBE


def test_plain_targets_allow_an_early_probe(fleet):
    """Where a crash costs one target only, the quarantine is short."""
    fleet.crash('system new one', is_group=False)
    assert fleet.decide('system new two') is state.Status.QUARANTINED
    fleet.now_s += const.TARGET_QUARANTINE_S
    assert fleet.decide('system new two') is state.Status.PROBE


# A sound part was refused because only another instance had answered it.
def test_part_that_another_instance_answered_is_not_suspect(fleet):
    """Who has answered it tells the others."""
    fleet.answer('rare one', at=3)
    fleet.crash('rare two', at=0)
    assert fleet.decide('rare three') is state.Status.CLEAR


def test_targets_lost_together_make_no_answered_part_suspect(fleet):
    """All have a popular part on board, and nothing is answered meanwhile."""
    for _ in range(8):
        fleet.crash('system one', 'system two')
        fleet.now_s += 0.5
    assert fleet.decide('system three') is state.Status.CLEAR


def test_answers_between_crashes_clear_parts(fleet):
    """A popular part on board of many targets lost apart stays free."""
    for number in range(10):
        fleet.crash(f'system {number}')
        fleet.now_s += 10.0
        fleet.answer(f'system again{number}')
        assert fleet.decide('system other') is state.Status.CLEAR


# A first event was taken for a proof that a new part is sound.
def test_answer_that_goes_on_does_not_clear_a_new_part(fleet):
    """Only one that is answered whole does."""
    fleet.crash('system deadly one')
    fleet.progress('system deadly two')
    assert fleet.decide('system deadly three') is state.Status.QUARANTINED
    fleet.answer('system deadly two')
    assert fleet.decide('system deadly three') is state.Status.CLEAR


def test_answers_that_go_on_between_crashes_clear_answered_parts(fleet):
    """In a series of crashes hardly any stream ends whole."""
    for number in range(10):
        fleet.crash(f'system {number}')
        fleet.now_s += 6.0
        fleet.progress(f'system again{number}')
        assert fleet.decide('system other') is state.Status.CLEAR


def test_answered_part_that_has_become_deadly_is_quarantined(fleet):
    """After three outages without a single answer in between."""
    for number in range(2):
        fleet.crash(f'system {number}')
        assert fleet.decide('system x') is state.Status.CLEAR
        fleet.now_s += 6.0
    fleet.crash('system 2')
    assert fleet.decide('system x') is state.Status.QUARANTINED


def test_sound_part_beside_the_deadly_one_is_excused():
    """Both are new; the one that crashes again accounts for both crashes."""
    fleet = Fleet(3)
    fleet.answer('system own')
    fleet.now_s += 5.0
    fleet.crash('young deadly one')
    fleet.now_s += const.TARGET_QUARANTINE_S
    assert fleet.decide('young deadly 2') is state.Status.QUARANTINED
    fleet.try_request('system deadly three')
    fleet.crash('system deadly three')
    assert fleet.decide('young two') is state.Status.CLEAR
    assert fleet.decide('system deadly 4') is state.Status.QUARANTINED


def test_request_that_has_one_of_two_suspects_tells_them_apart():
    """The sound one is cleared soon, which leaves the deadly one alone."""
    fleet = Fleet(3)
    fleet.answer('system own')
    fleet.now_s += 5.0
    fleet.crash('young deadly one')
    fleet.now_s += const.TARGET_QUARANTINE_S
    fleet.try_request('young two')
    fleet.answer('young two')
    assert fleet.decide('young three') is state.Status.CLEAR
    assert fleet.decide('system deadly 2') is state.Status.QUARANTINED


def test_several_deadly_parts_are_quarantined_each():
    """Also when two of them crash targets within milliseconds."""
    fleet = Fleet(2)
    fleet.answer('system own')
    fleet.now_s += 5.0
    fleet.crash('system first a', at=0)
    fleet.now_s += 0.005
    fleet.crash('system second b', at=1)
    for part in ('first', 'second'):
        assert fleet.decide(f'system {part} c') is state.Status.QUARANTINED


# A request without parts crashed a target each time that it came again.
def test_whole_request_is_quarantined_after_two_crashes(fleet):
    """Most requests on board of a crash are sound and tried once more."""
    fleet.crash('only')
    assert fleet.decide('only') is state.Status.CLEAR
    fleet.crash('only', at=1)
    assert fleet.decide('only') is state.Status.QUARANTINED
    assert fleet.decide('other') is state.Status.CLEAR


def test_repeated_reports_of_one_crash_count_once(fleet):
    """Many instances see a crash, and each of them may tell it often."""
    for _ in range(5):
        for instance in range(4):
            fleet.crash('system', at=instance, crash_id=77)
    assert fleet.decide('system') is state.Status.CLEAR


def test_late_news_revive_no_cleared_suspect(fleet):
    """An instance that was frozen tells an old crash again."""
    fleet.crash('system new one')
    old = fleet.ledgers[0].list_all(fleet.now_s)
    fleet.now_s += const.GROUP_QUARANTINE_S
    fleet.try_request('system new two')
    fleet.answer('system new two')
    for ledger in fleet.ledgers:
        ledger.merge(old, fleet.now_s)
    assert fleet.decide('system new three') is state.Status.CLEAR


def test_restarted_instance_learns_from_the_others(fleet):
    """It has forgotten all; whoever is linked to it tells it."""
    fleet.crash('system deadly one')
    fleet.ledgers[2] = state.CrashLedger()
    news = fleet.ledgers[0].list_all(fleet.now_s)
    fleet.ledgers[2].merge(news, fleet.now_s)
    assert fleet.decide('system deadly two') is state.Status.QUARANTINED
    assert fleet.decide('system two') is state.Status.CLEAR


def test_crashes_are_forgotten_in_time(fleet):
    """A part may have been mended, and an engine replaced."""
    fleet.crash('system deadly one')
    fleet.now_s += const.CRASH_TTL_S + 1.0
    assert fleet.decide('system deadly two') is state.Status.CLEAR


def test_kept_state_is_bounded():
    """Thousands of parts and crashes take no more than the limits."""
    fleet = Fleet(1)
    many = ' '.join(f'p{number}' for number in range(500))
    for number in range(2 * const.MAX_CRASHES):
        fleet.crash(f'q{number} {many}')
        fleet.now_s += 0.01
    for number in range(const.MAX_ANSWERED_PARTS + 500):
        fleet.answer(f'r{number}')
    ledger = fleet.ledgers[0]
    assert len(ledger._crashes) <= const.MAX_CRASHES
    assert len(ledger._answered_parts) == const.MAX_ANSWERED_PARTS
    news = ledger.list_all(fleet.now_s)
    assert len(news.crashes) <= const.MAX_CRASHES
    assert all(
        len(crash.suspects) <= const.MAX_SUSPECTS_PER_CRASH
        for crash in news.crashes
    )


@hypothesis.given(strategies.integers(0, 10_000))
@hypothesis.settings(max_examples=60, deadline=None)
def test_order_and_repetition_of_news_do_not_matter(seed):
    """All instances end up with the same decisions."""
    rng = random.Random(seed)
    fleet = Fleet(4)
    fleet.is_connected = False
    texts = ['system a', 'system deadly b', 'young c', 'young deadly d']
    for _ in range(12):
        at = rng.randrange(4)
        if rng.random() < 0.5:
            fleet.crash(rng.choice(texts), at=at, crash_id=rng.randrange(1, 6))
        else:
            fleet.answer(rng.choice(texts), at=at)
    pending = fleet.undelivered + rng.sample(
        fleet.undelivered, len(fleet.undelivered) // 2
    )
    rng.shuffle(pending)
    fleet.undelivered = []
    for receiver, news in pending:
        fleet.tell(receiver, receiver.merge(news, fleet.now_s).reply)
    replies, fleet.undelivered = fleet.undelivered, []
    for receiver, news in replies:
        receiver.merge(news, fleet.now_s)
    for text in texts:
        fleet.decide(text)
