"""Test which responses are broken off for callers that don't read."""

from bambooring.callers import unread
from bambooring_core.http1 import relief


def _make_holder(held_bytes, stalled_s):
    return relief.Holder(
        connection='',
        held_bytes=held_bytes,
        stalled_s=stalled_s,
        has_request=True,
        has_output=held_bytes > 0,
    )


def test_unread_response_is_broken_off():
    """A caller that reads nothing keeps a thread for as long as it stays."""
    stalled, moving = _make_holder(1, 11.0), _make_holder(1, 9.0)
    assert list(unread.choose_unread([moving, stalled], 0)) == [stalled]


def test_slow_target_is_not_its_caller_s_fault():
    """A stream whose target pauses for long has nothing to read."""
    assert not list(unread.choose_unread([_make_holder(0, 60.0)], 100))


def test_largest_response_is_broken_off_beyond_the_budget():
    """Many callers read slowly; together their output exceeds the budget."""
    small, large = _make_holder(10, 1.0), _make_holder(90, 1.0)
    assert list(unread.choose_unread([small, large], 50)) == [large]
