"""Test that a group is formed once and not again after a disk is lost.

A replica that lost its disk must not form a second group beside the first.
"""

from bambooring.replication import bootstrap
from bambooring.replication import messages


def _make_greeting(name, id, *, is_fresh=True, your_id=1):
    return messages.Greeting(
        id=id, name=name, is_fresh=is_fresh, your_id=your_id
    )


def test_group_forms_once_all_are_fresh():
    """The lowest name forms the group once all others report to be fresh."""
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


def test_replica_without_voter_names_does_not_form_a_group():
    """A replica that may not form a group waits until it is added."""
    group_bootstrap = bootstrap.GroupBootstrap(id=1, name='a', voter_names=[])
    assert group_bootstrap.choose_members() is None
    group_bootstrap.add_greeting(_make_greeting('b', 2))
    assert group_bootstrap.choose_members() is None
