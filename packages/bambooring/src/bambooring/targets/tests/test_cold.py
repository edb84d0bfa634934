"""Tell instances of cold targets at once, and not with each heartbeat."""

import pytest

from bambooring.targets import const
from bambooring.targets import messages
from bambooring.targets import state

CHANGED = state.AnnouncementResult.CHANGED
REFRESHED = state.AnnouncementResult.REFRESHED


def _make_target(sequence, cold_ms):
    return messages.Target(
        id='i-1',
        service='app',
        address='10.0.0.1:80',
        failure_domain='a',
        slots=5,
        state=messages.State.READY,
        born_ms=100,
        sequence=sequence,
        cold_ms=cold_ms,
    )


def _announce(registry, sequence, cold_ms, now_s):
    target = _make_target(sequence, cold_ms)
    return registry.apply_announcement(target, now_s)


# 22 cold targets would be sent to 72 instances with each heartbeat.
def test_countdown_is_no_change():
    """The remainder shrinks with each heartbeat, which may come late."""
    registry = state.Registry(1.0)
    assert _announce(registry, 1, 4000, 0.0) is CHANGED
    assert _announce(registry, 2, 3000, 1.2) is REFRESHED
    assert _announce(registry, 3, 1900, 2.0) is REFRESHED
    assert _announce(registry, 4, 900, 3.1) is REFRESHED
    assert _announce(registry, 5, 0, 4.1) is REFRESHED


@pytest.mark.parametrize('cold_ms', [1, 100, 20_000])
def test_warm_target_is_cold_again(cold_ms):
    """Instances would go on to send as much as to a warm target."""
    registry = state.Registry(1.0)
    _announce(registry, 1, 0, 0.0)
    assert _announce(registry, 2, cold_ms, 1.0) is CHANGED


def test_longer_remainder_is_a_change():
    """A target that becomes cold anew while it is cold."""
    registry = state.Registry(1.0)
    _announce(registry, 1, 4000, 0.0)
    assert _announce(registry, 2, 4000, 1.0) is CHANGED


def test_slow_growth_is_a_change_in_the_end():
    """Steps within the tolerance must not add up unnoticed."""
    registry = state.Registry(1.0)
    _announce(registry, 1, 4000, 0.0)
    step_s = const.COLD_TOLERANCE_S * 0.8
    results = [
        _announce(registry, 2 + i, 4000, step_s * (i + 1)) for i in range(2)
    ]
    assert results == [REFRESHED, CHANGED]


def test_target_that_is_warm_early():
    """Its slots would stay unused for the rest of the cold time."""
    registry = state.Registry(1.0)
    _announce(registry, 1, 30_000, 0.0)
    assert _announce(registry, 2, 0, 1.0) is CHANGED


def test_later_link_gets_what_is_left():
    """An instance that starts late would hold a target cold for too long.

    It must not learn that the target is warm before the target says so.
    """
    registry = state.Registry(1.0)
    _announce(registry, 1, 4000, 0.0)
    assert [target.cold_ms for target in registry.list_all(3.0)] == [1000]
    assert [target.cold_ms for target in registry.list_all(4.2)] == [1]
    _announce(registry, 2, 0, 4.3)
    assert [target.cold_ms for target in registry.list_all(4.4)] == [0]
