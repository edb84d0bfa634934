"""Test that a fleet gets each policy once from near, and from afar if need be.

Pattern: policies come in quick succession on a fleet of a hundred entry
instances, each linked to five replicas, while replicas are lost.
"""

from bambooring.gateway import feeds
from bambooring.targets import messages as targets


def _make_feeds(statuses):
    """Return feeds and their links, given by name and whether it is main."""
    entry_feeds = feeds.EntryFeeds()
    for name, is_main in statuses.items():
        entry_feeds.add(name, is_main=is_main)
    return entry_feeds


def _tell(entry_feeds, name, is_main, version=0):
    status = targets.EntryStatus(is_main=is_main, policy_version=version)
    return entry_feeds.update(name, status)


def _take(entry_feeds, version, is_backup=False):
    return set(entry_feeds.take_due(version, is_backup=is_backup))


def test_near_instances_get_a_policy_at_once():
    """Instances of the own domain go first."""
    entry_feeds = _make_feeds({'near': True, 'far': False})
    assert _take(entry_feeds, 3) == {'near'}
    assert _take(entry_feeds, 3) == set()
    assert entry_feeds.has_due(3)


def test_backup_sends_only_what_is_missing():
    """A far instance that has the policy by then isn't sent it again."""
    entry_feeds = _make_feeds({'far': False, 'cut': False})
    _tell(entry_feeds, 'far', False, version=3)
    assert _take(entry_feeds, 3, is_backup=True) == {'cut'}
    assert not entry_feeds.has_due(3)


def test_policies_in_quick_succession():
    """Each version is sent once to each, also if an older one is told late."""
    entry_feeds = _make_feeds({'near': True, 'far': False})
    assert _take(entry_feeds, 4) == {'near'}
    assert _take(entry_feeds, 5) == {'near'}
    _tell(entry_feeds, 'near', True, version=4)
    assert _take(entry_feeds, 5) == set()
    assert _take(entry_feeds, 5, is_backup=True) == {'far'}


def test_instance_that_lost_its_near_replica():
    """A replica that becomes a main one has to pass on all it knows."""
    entry_feeds = _make_feeds({'far': False})
    assert entry_feeds.list_main() == []
    assert _tell(entry_feeds, 'far', True)
    assert not _tell(entry_feeds, 'far', True)
    assert entry_feeds.list_main() == ['far']
    assert _take(entry_feeds, 1) == {'far'}
    entry_feeds.remove('far')
    assert not entry_feeds.has_due(9)
    assert not _tell(entry_feeds, 'far', True)
