"""Test the registry with late, repeated and reordered announcements."""

import dataclasses

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
