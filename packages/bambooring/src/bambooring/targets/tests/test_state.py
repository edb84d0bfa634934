"""Announce targets in any order, late and twice."""

import dataclasses

from bambooring.targets import messages
from bambooring.targets import state

HEARTBEAT_S = 1.0


def _make(id='i-1', born=100, sequence=1, **changes):
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


def _list(registry):
    return [target.id for target in registry.list_usable()]


def test_heartbeats_keep_a_target():
    """A target without heartbeats gets no work, and comes back by one."""
    registry = state.Registry(HEARTBEAT_S)
    assert (
        registry.apply_announcement(_make(), 0)
        is state.AnnouncementResult.CHANGED
    )
    assert (
        registry.apply_announcement(_make(sequence=2), 3)
        is state.AnnouncementResult.REFRESHED
    )
    assert not list(registry.expire(6.9))
    assert [one.id for one in registry.expire(7.1)] == ['i-1']
    assert not _list(registry)
    assert (
        registry.apply_announcement(_make(sequence=3), 8)
        is state.AnnouncementResult.CHANGED
    )
    assert _list(registry) == ['i-1']


def test_late_heartbeat_of_a_leaving_target():
    """A heartbeat sent before the last word doesn't bring a target back."""
    registry = state.Registry(HEARTBEAT_S)
    registry.apply_announcement(_make(sequence=3), 0)
    draining = _make(sequence=5, state=messages.State.DRAINING)
    assert (
        registry.apply_announcement(draining, 1)
        is state.AnnouncementResult.CHANGED
    )
    assert (
        registry.apply_announcement(_make(sequence=4), 2)
        is state.AnnouncementResult.STALE
    )
    assert not _list(registry)
    assert registry.mark_gone('i-1', 0, 3) is not None
    assert registry.mark_gone('i-1', 0, 3) is None
    assert (
        registry.apply_announcement(_make(sequence=6), 4)
        is state.AnnouncementResult.STALE
    )
    assert not _list(registry)


def test_new_run_under_the_same_id():
    """A later start counts its announcements anew."""
    registry = state.Registry(HEARTBEAT_S)
    registry.apply_announcement(_make(sequence=9), 0)
    registry.mark_gone('i-1', 0, 1)
    again = _make(born=200, sequence=1)
    assert (
        registry.apply_announcement(again, 2)
        is state.AnnouncementResult.CHANGED
    )
    assert _list(registry) == ['i-1']
    assert registry.mark_gone('i-1', 100, 3) is None
    assert _list(registry) == ['i-1']


def test_address_used_again():
    """The newest run at an address takes the place of those before it."""
    registry = state.Registry(HEARTBEAT_S)
    registry.apply_announcement(_make(id='i-1', born=100), 0)
    other = _make(id='i-2', born=300, service='llm')
    registry.apply_announcement(other, 1)
    assert _list(registry) == ['i-2']
    late = _make(id='i-1', born=100, sequence=7)
    assert (
        registry.apply_announcement(late, 2) is state.AnnouncementResult.STALE
    )
    assert _list(registry) == ['i-2']


def test_word_of_other_instances():
    """Announcements passed on by others meet in one state."""
    first = state.Registry(HEARTBEAT_S)
    second = state.Registry(HEARTBEAT_S)
    first.apply_announcement(_make(sequence=1), 0)
    gone = first.mark_gone('i-1', 0, 1)
    assert gone is not None
    second.apply_announcement(gone, 1)
    assert (
        second.apply_announcement(_make(sequence=2), 2)
        is state.AnnouncementResult.STALE
    )
    assert first.list_all() == second.list_all()
    same = dataclasses.replace(gone)
    assert second.apply_announcement(same, 3) is state.AnnouncementResult.STALE


def test_silence_of_those_who_tell():
    """No heartbeat runs out while nobody can tell of them."""
    registry = state.Registry(HEARTBEAT_S)
    registry.apply_announcement(_make(), 0)
    registry.renew_all(10)
    assert not list(registry.expire(12))
    assert _list(registry) == ['i-1']
