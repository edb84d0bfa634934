"""Form a group once, and never from a disk that was lost."""

from bambooring.replication import bootstrap
from bambooring.replication import messages


def _make_greeting(name, id, *, is_fresh=True, your_id=1):
    return messages.Greeting(
        id=id, name=name, is_fresh=is_fresh, your_id=your_id
    )


def test_form_once_all_are_fresh():
    """The least name forms the group when all have said they are fresh."""
    group_bootstrap = bootstrap.GroupBootstrap(
        id=1, name='a', voter_names=['a', 'b', 'c']
    )
    group_bootstrap.add_greeting(_make_greeting('b', 2))
    assert group_bootstrap.choose_members() is None
    group_bootstrap.add_greeting(_make_greeting('c', 3, your_id=9))
    assert group_bootstrap.choose_members() is None
    group_bootstrap.add_greeting(_make_greeting('c', 3))
    members = group_bootstrap.choose_members() or []
    assert [member.id for member in members] == [1, 2, 3]


def test_lost_disk_forms_nothing():
    """A replica that may not form a group waits to be taken in."""
    group_bootstrap = bootstrap.GroupBootstrap(id=1, name='a', voter_names=[])
    assert group_bootstrap.choose_members() is None
    group_bootstrap.add_greeting(_make_greeting('b', 2))
    assert group_bootstrap.choose_members() is None
