"""Test the registry with late, repeated and reordered announcements."""

import dataclasses

import pytest

from bambooring.targets import messages
from bambooring.targets import state

HEARTBEAT_S = 1.0


def _make_target(id='i-1', born=100, sequence=1, **changes):
    values = {
        'id': id,
        'service': 'app',
        'address': '10.0.0.1:80',
        'failure_domain': 'a',
        'slots': 6,
        'state': messages.State.READY,
        'born_ms': born,
        'sequence': sequence,
    } | changes
    return messages.Target(**values)


def _list_usable_ids(registry):
    return [target.id for target in registry.list_usable()]


def test_heartbeats_keep_a_target():
    """A target without heartbeats gets no work until the next heartbeat."""
    registry = state.Registry(HEARTBEAT_S)
    assert (
        registry.apply_announcement(_make_target(), 0)
        is state.AnnouncementResult.CHANGED
    )
    assert (
        registry.apply_announcement(_make_target(sequence=2), 3)
        is state.AnnouncementResult.REFRESHED
    )
    assert not list(registry.expire(6.9))
    assert [target.id for target in registry.expire(7.1)] == ['i-1']
    assert not _list_usable_ids(registry)
    assert (
        registry.apply_announcement(_make_target(sequence=3), 8)
        is state.AnnouncementResult.CHANGED
    )
    assert _list_usable_ids(registry) == ['i-1']


def test_late_heartbeat_of_a_leaving_target():
    """A heartbeat sent before the end of a run doesn't bring it back."""
    registry = state.Registry(HEARTBEAT_S)
    registry.apply_announcement(_make_target(sequence=3), 0)
    draining = _make_target(sequence=5, state=messages.State.DRAINING)
    assert (
        registry.apply_announcement(draining, 1)
        is state.AnnouncementResult.CHANGED
    )
    assert (
        registry.apply_announcement(_make_target(sequence=4), 2)
        is state.AnnouncementResult.STALE
    )
    assert not _list_usable_ids(registry)
    assert registry.mark_gone('i-1', 0, 3) is not None
    assert registry.mark_gone('i-1', 0, 3) is None
    assert (
        registry.apply_announcement(_make_target(sequence=6), 4)
        is state.AnnouncementResult.STALE
    )
    assert not _list_usable_ids(registry)


def test_new_run_under_the_same_id():
    """A later run wins although its sequence starts anew."""
    registry = state.Registry(HEARTBEAT_S)
    registry.apply_announcement(_make_target(sequence=9), 0)
    registry.mark_gone('i-1', 0, 1)
    restarted = _make_target(born=200, sequence=1)
    assert (
        registry.apply_announcement(restarted, 2)
        is state.AnnouncementResult.CHANGED
    )
    assert _list_usable_ids(registry) == ['i-1']
    assert registry.mark_gone('i-1', 100, 3) is None
    assert _list_usable_ids(registry) == ['i-1']


def test_reused_address():
    """The newest run at an address replaces earlier ones."""
    registry = state.Registry(HEARTBEAT_S)
    registry.apply_announcement(_make_target(id='i-1', born=100), 0)
    other = _make_target(id='i-2', born=300, service='llm')
    registry.apply_announcement(other, 1)
    assert _list_usable_ids(registry) == ['i-2']
    late = _make_target(id='i-1', born=100, sequence=7)
    assert (
        registry.apply_announcement(late, 2) is state.AnnouncementResult.STALE
    )
    assert _list_usable_ids(registry) == ['i-2']


# One entry of another writer took a sound target out for good.
def test_address_taken_back_from_a_run_with_the_same_start():
    """The run that goes on is announced anew to the other instances."""
    control = state.Registry(HEARTBEAT_S)
    entry = state.Registry(HEARTBEAT_S)
    announcements = [
        _make_target('i-1', sequence=1),
        _make_target('other', sequence=1),
        _make_target('i-1', sequence=2),
    ]
    for second, target in enumerate(announcements):
        result = control.apply_announcement(target, second)
        assert result is state.AnnouncementResult.CHANGED
        entry.apply_announcement(target, second)
    assert _list_usable_ids(control) == _list_usable_ids(entry) == ['i-1']
    refreshed = control.apply_announcement(_make_target(sequence=3), 3)
    assert refreshed is state.AnnouncementResult.REFRESHED


class Replica:
    """A control replica's registry and that of an entry instance."""

    def __init__(self):
        self.registry = state.Registry(HEARTBEAT_S)
        self.entry = state.Registry(HEARTBEAT_S)

    def announce(self, target, now_s):
        """Handle a target's own announcement as the registrar does."""
        void_runs = self.registry.settle_dispute(target, now_s)
        result = self.registry.apply_announcement(target, now_s)
        if void_runs or result is state.AnnouncementResult.CHANGED:
            for sent in (*void_runs, target):
                self.entry.apply_announcement(sent, now_s)
        elif result is state.AnnouncementResult.REFRESHED:
            self.entry.refresh(target.id, now_s)
        for registry in (self.registry, self.entry):
            list(registry.expire(now_s))
        return void_runs

    def list_usable(self):
        """Return the usable targets, the same in both registries."""
        usable_ids = _list_usable_ids(self.registry)
        assert _list_usable_ids(self.entry) == usable_ids
        return usable_ids


FUTURE = 10**12
ODD_ENTRIES = [
    {'id': 'other', 'born': FUTURE},
    {'id': 'i-1', 'born': FUTURE},
    {'id': 'i-1', 'born': FUTURE, 'address': '10.0.0.2:80'},
]


# One entry with a far start kept all requests from a sound target for good.
@pytest.mark.parametrize('odd_entry', ODD_ENTRIES)
def test_run_that_goes_on_outlives_a_later_one(odd_entry):
    """The sound target is used again once the odd one was long silent."""
    replica = Replica()
    replica.announce(_make_target(sequence=1), 0)
    replica.announce(_make_target(**odd_entry), 0.5)
    assert replica.list_usable() != ['i-1'] or odd_entry['id'] == 'i-1'
    for second in range(1, 5):
        assert not replica.announce(_make_target(sequence=second + 1), second)
    (void_run,) = replica.announce(_make_target(sequence=6), 5)
    assert void_run.born_ms == FUTURE
    assert replica.list_usable() == ['i-1']
    assert replica.registry.get('i-1') == _make_target(sequence=6)
    # The odd entry once more, with a later number, changes nothing.
    for second in range(6, 200):
        replica.announce(_make_target(sequence=second + 1), second)
        odd_target = _make_target(sequence=second, **odd_entry)
        replica.announce(odd_target, second + 0.5)
        assert replica.list_usable() == ['i-1']
    assert replica.registry.get('i-1') == _make_target(sequence=200)


def test_new_run_beside_a_void_one():
    """A new run wins at its address at once although one there was void."""
    replica = Replica()
    replica.announce(_make_target(sequence=1), 0)
    replica.announce(_make_target(id='other', born=FUTURE), 0.5)
    for second in range(1, 7):
        replica.announce(_make_target(sequence=second + 1), second)
    assert replica.list_usable() == ['i-1']
    replica.announce(_make_target(id='i-2', born=200), 7)
    assert replica.list_usable() == ['i-2']


# After its clock had jumped back, a target's new run was never used.
@pytest.mark.parametrize('id', ['i-1', 'i-2'])
def test_new_run_with_an_earlier_start(id):
    """A run that started by a clock set back outlives the ended one."""
    replica = Replica()
    replica.announce(_make_target(sequence=40), 0)
    for second in range(1, 7):
        run = _make_target(id=id, born=95, sequence=second)
        replica.announce(run, second)
    assert replica.list_usable() == [id]


def test_late_heartbeats_of_an_ended_run():
    """Heartbeats that arrive late don't outlive the run that goes on."""
    replica = Replica()
    replica.announce(_make_target(sequence=1), 0)
    for second in range(1, 30):
        run = _make_target(id='i-2', born=200, sequence=second)
        replica.announce(run, second)
        late = _make_target(sequence=second + 1)
        assert not replica.announce(late, second + 0.9)
        assert replica.list_usable() == ['i-2']


def test_few_late_heartbeats_while_a_new_run_is_silent():
    """Late heartbeats must last as long as a target may be silent."""
    replica = Replica()
    replica.announce(_make_target(sequence=1), 0)
    replica.announce(_make_target(id='i-2', born=200), 1)
    for second, sequence in ((8, 2), (9, 3), (11.9, 4), (30, 4), (34, 4)):
        late = _make_target(sequence=sequence)
        assert not replica.announce(late, second)
        assert replica.list_usable() == []
    replica.announce(_make_target(id='i-2', born=200, sequence=2), 35)
    assert replica.list_usable() == ['i-2']


def test_void_run_that_goes_on():
    """A run that was void by mistake outlives the other one in turn."""
    replica = Replica()
    replica.announce(_make_target(sequence=1), 0)
    replica.announce(_make_target(id='i-2', born=200), 1)
    for second in range(2, 8):
        replica.announce(_make_target(sequence=second), second)
    assert replica.list_usable() == ['i-1']
    for second in range(8, 20):
        run = _make_target(id='i-2', born=200, sequence=second)
        replica.announce(run, second)
    assert replica.list_usable() == ['i-2']


def test_end_of_a_void_run_is_final():
    """A run that ended isn't usable again by a late heartbeat of its own."""
    replica = Replica()
    replica.announce(_make_target(sequence=1), 0)
    ended = _make_target(id='i-2', born=200, state=messages.State.GONE)
    for registry in (replica.registry, replica.entry):
        registry.apply_announcement(ended, 1)
    for second in range(2, 20):
        replica.announce(_make_target(sequence=second), second)
    late = _make_target(id='i-2', born=200, sequence=9)
    for registry in (replica.registry, replica.entry):
        registry.apply_announcement(late, 20)
    assert replica.list_usable() == ['i-1']


@pytest.mark.parametrize('odd_entry', ODD_ENTRIES)
def test_void_run_is_sent_to_new_instances(odd_entry):
    """An instance that has the odd entry learns that it is void."""
    replica = Replica()
    replica.announce(_make_target(sequence=1), 0)
    cut_off = state.Registry(HEARTBEAT_S)
    cut_off.apply_announcement(_make_target(**odd_entry), 0.5)
    replica.announce(_make_target(**odd_entry), 0.5)
    for second in range(1, 8):
        replica.announce(_make_target(sequence=second + 1), second)
    for target in replica.registry.list_all():
        cut_off.apply_announcement(target, 8)
    assert list(cut_off.list_usable()) == [_make_target(sequence=8)]


def test_relayed_announcements():
    """Registries agree on a target that is gone, in any order of arrival."""
    first = state.Registry(HEARTBEAT_S)
    second = state.Registry(HEARTBEAT_S)
    first.apply_announcement(_make_target(sequence=1), 0)
    gone = first.mark_gone('i-1', 0, 1)
    assert gone is not None
    second.apply_announcement(gone, 1)
    assert (
        second.apply_announcement(_make_target(sequence=2), 2)
        is state.AnnouncementResult.STALE
    )
    assert first.list_all() == second.list_all()
    same = dataclasses.replace(gone)
    assert second.apply_announcement(same, 3) is state.AnnouncementResult.STALE


def test_renewed_targets_do_not_expire():
    """Targets don't expire while no instance can report heartbeats."""
    registry = state.Registry(HEARTBEAT_S)
    registry.apply_announcement(_make_target(), 0)
    registry.renew_all(10)
    assert not list(registry.expire(12))
    assert _list_usable_ids(registry) == ['i-1']


# The entry instance ended as it listed the older run at an address.
def test_older_run_outlasts_a_silent_newer_one():
    """A run that others report alive is usable once the newer is forgotten."""
    registry = state.Registry(HEARTBEAT_S)
    registry.apply_announcement(_make_target('i-1', born=100), 0)
    registry.apply_announcement(_make_target('i-2', born=200), 0)
    for second in range(1, 130):
        registry.refresh('i-1', second)
        list(registry.expire(second))
    assert _list_usable_ids(registry) == ['i-1']


def test_find_rank():
    """The latest run of a rank is found, unless it has gone."""
    registry = state.Registry(HEARTBEAT_S)
    assert registry.find_rank('g', 0) is None
    old = _make_target('i-1', group='g', group_epoch=1, rank=0)
    new = _make_target('i-2', born=200, group='g', group_epoch=2, rank=0)
    other = _make_target('i-3', group='g', group_epoch=2, rank=1)
    for target in (new, old, other):
        registry.apply_announcement(target, 0)
    assert registry.find_rank('g', 0) == new
    assert registry.find_rank('g', 2) is None
    registry.mark_gone('i-2', 200, 1)
    assert registry.find_rank('g', 0) is None


# A leaving that was confirmed had no effect, because an odd entry under the
# run's id and start had a higher number: requests came for seconds.
def test_leaving_is_heeded_whatever_was_announced_before():
    """No run is ready again once it leaves, so its number doesn't matter."""
    registry = state.Registry(HEARTBEAT_S)
    registry.apply_announcement(_make_target(), 0)
    registry.apply_announcement(_make_target(sequence=10**6), 0.5)
    leaving = _make_target(sequence=2, state=messages.State.DRAINING)
    result = registry.apply_announcement(leaving, 1)
    assert result is state.AnnouncementResult.CHANGED
    assert not _list_usable_ids(registry)
    late = _make_target(sequence=1)
    result = registry.apply_announcement(late, 2)
    assert result is state.AnnouncementResult.STALE


def test_odd_leaving_ends_with_the_next_announcement():
    """A run that was said to leave by another writer goes on."""
    registry = state.Registry(HEARTBEAT_S)
    registry.apply_announcement(_make_target(sequence=7), 0)
    odd = _make_target(sequence=1, state=messages.State.DRAINING)
    registry.apply_announcement(odd, 0.5)
    registry.apply_announcement(_make_target(sequence=8), 1)
    assert _list_usable_ids(registry) == ['i-1']


# One entry of another writer kept a sound target unused for two minutes.
def test_target_outlives_a_high_sequence_number():
    """An odd entry under a run's id and start doesn't silence the run."""
    registry = state.Registry(HEARTBEAT_S)
    registry.apply_announcement(_make_target(), 0)
    odd = _make_target(sequence=2**53)
    registry.settle_dispute(odd, 0.5)
    registry.apply_announcement(odd, 0.5)
    for now_s in range(1, 60):
        target = _make_target(sequence=now_s + 1)
        registry.settle_dispute(target, now_s)
        registry.apply_announcement(target, now_s)
        list(registry.expire(now_s))
    assert _list_usable_ids(registry) == ['i-1']
