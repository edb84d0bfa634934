"""Test the bound on the bytes of the bodies at one target."""

from bambooring.balancing import bodies


def test_target_with_many_large_bodies_gets_no_more():
    """Large bodies at one target don't add up beyond its memory."""
    held = bodies.TargetBodies(limit_bytes=100)
    held.add('a', 60)
    assert held.list_full(41) == {'a'}
    assert not held.list_full(40)
    held.remove('a', 60)
    assert not held.list_full(41)


def test_largest_body_has_room_at_an_idle_target():
    """A body above the limit is not refused for ever."""
    held = bodies.TargetBodies(limit_bytes=100)
    assert not held.list_full(500)
    held.add('a', 500)
    held.remove('a', 500)
    assert not held.list_full(500)


def test_no_limit_excludes_no_target():
    """Without the setting all requests are sent as before."""
    held = bodies.TargetBodies()
    held.add('a', 10**9)
    assert not held.list_full(10**9)
