"""Test the bound on the bytes of the bodies at one target."""

from bambooring.balancing import bodies

KB = 1024


def test_target_with_many_large_bodies_gets_no_more():
    """Large bodies at one target don't add up beyond its memory."""
    held = bodies.TargetBodies(limit_bytes=100 * KB)
    held.add('a', 30 * KB)
    assert held.list_full(80 * KB) == {'a'}
    assert not held.list_full(70 * KB)
    held.remove('a', 30 * KB)
    assert not held.list_full(80 * KB)


def test_largest_body_has_room_at_an_idle_target():
    """A body above the limit is not refused for ever."""
    held = bodies.TargetBodies(limit_bytes=100 * KB)
    assert not held.list_full(500 * KB)
    held.add('a', 500 * KB)
    held.remove('a', 500 * KB)
    assert not held.list_full(500 * KB)


def test_no_limit_excludes_no_target():
    """Without the setting all requests are sent as before."""
    held = bodies.TargetBodies()
    held.add('a', 10**9)
    assert not held.list_full(10**9)


def test_small_body_has_room_at_a_full_target():
    """Ordinary requests were refused behind large ones."""
    held = bodies.TargetBodies(limit_bytes=100 * KB)
    held.add('a', 100 * KB)
    assert not held.list_full(1000)
