"""Test the budget of memory, and whom it is taken from."""

from bambooring_core.http1 import memory
from bambooring_core.http1 import relief

MB = 1024 * 1024


def test_reserved_part_is_not_for_large_bodies():
    """Large bodies left no room for small ones."""
    budget = memory.MemoryBudget(100)
    with memory.Reservation(budget) as large:
        assert large.try_resize(75)
        assert not large.try_resize(76)
        assert (large.size, budget.used_bytes) == (75, 75)
        with memory.Reservation(budget) as small:
            small.resize(30)
            assert budget.is_exceeded
    assert not budget.used_bytes


def test_budget_fits_the_machine():
    """A budget beyond the machine's memory lets the process be killed."""
    for memory_mb in (88, 152, 200, 296):
        budget = memory.make_budget(memory_mb * MB)
        assert 12 * MB <= budget.total_bytes < (memory_mb - 48) * MB
    # Bodies of the legal size are served on any machine.
    assert memory.make_budget(MB).has_room(8 * MB)


def test_no_limit_admits_all():
    """Without the setting nothing is refused."""
    budget = memory.make_budget(0)
    assert memory.Reservation(budget).try_resize(10**12)
    assert not budget.is_exceeded


def test_descriptors_for_callers():
    """Files and links need descriptors besides callers."""
    assert memory.get_callers_descriptors(0) == 0
    assert memory.get_callers_descriptors(1535) == 1535 - 328
    assert memory.get_callers_descriptors(1535, links_share=0.5) == 767 - 328
    assert memory.get_callers_descriptors(200) == 50


def _make_holder(name, held_bytes, stalled_s, has_request=False, unread=False):
    return relief.Holder(
        connection=name,
        held_bytes=held_bytes,
        stalled_s=stalled_s,
        has_request=has_request,
        has_output=unread,
    )


def test_who_holds_most_and_moves_least_is_closed_first():
    """A caller that makes progress was closed instead of a stalled one."""
    holders = [
        _make_holder('moving', 4 * MB, 0.0),
        _make_holder('stalled', 4 * MB, 2.0),
        _make_holder('small', 1000, 2.0),
        _make_holder('running', 4 * MB, 9.0, has_request=True),
        _make_holder('unread', 2 * MB, 9.0, has_request=True, unread=True),
    ]
    chosen = relief.choose_largest(holders, 100 * MB)
    names = [holder.connection for holder in chosen]
    assert names == ['unread', 'stalled', 'moving', 'small']
    chosen = relief.choose_largest(holders, MB)
    assert [holder.connection for holder in chosen] == ['unread']


def test_only_stalled_connections_give_way_to_a_large_body():
    """An upload in progress was cut off for another one."""
    holders = [
        _make_holder('moving', 4 * MB, 0.5),
        _make_holder('stalled', 4 * MB, 2.0),
    ]
    chosen = relief.choose_stalled(holders, 8 * MB)
    assert [holder.connection for holder in chosen] == ['stalled']
