"""Decide which entry instances get what from a control replica.

Each entry instance is linked to all replicas. If each of them sent it all they
know, most of that would cross failure domains, several times over.
"""

import collections.abc
import dataclasses

from bambooring.targets import messages as targets
from bambooring_core import links


@dataclasses.dataclass(slots=True, kw_only=True)
class _Feed:
    """What one entry instance needs.

    ``sent_version`` is the last policy that was sent to it, ``held_version``
    the one that it has in force as far as it has told.
    """

    is_main: bool
    sent_version: int = 0
    held_version: int = 0


class EntryFeeds:
    """Keep what each linked entry instance needs from this replica.

    Until an instance has told, its failure domain decides.
    """

    __slots__ = ('_feeds',)

    def __init__(self) -> None:
        self._feeds: dict[links.Link, _Feed] = {}

    def add(self, link: links.Link, *, is_main: bool) -> None:
        """Add a newly linked entry instance.

        :param link: the link
        :param is_main: whether it is in this replica's failure domain
        """
        self._feeds[link] = _Feed(is_main=is_main)

    def remove(self, link: links.Link) -> None:
        """Remove an entry instance, if the link is to one."""
        self._feeds.pop(link, None)

    def update(self, link: links.Link, status: targets.EntryStatus) -> bool:
        """Record what an entry instance told.

        :returns: whether this replica has become a main one for it, so that
            it may lack what other replicas told this one
        """
        feed = self._feeds.get(link)
        if feed is None:
            return False
        was_main = feed.is_main
        feed.is_main = status.is_main
        feed.held_version = status.policy_version
        return feed.is_main and not was_main

    def list_main(self) -> list[links.Link]:
        """Return the instances of which this is a main replica."""
        return [link for link, feed in self._feeds.items() if feed.is_main]

    def has_due(self, version: int) -> bool:
        """Return whether any instance lacks a policy version."""
        return any(_is_due(feed, version) for feed in self._feeds.values())

    def take_due(
        self, version: int, *, is_backup: bool
    ) -> collections.abc.Iterator[links.Link]:
        """Yield the instances to send a policy version to, and note it.

        :param version: the version
        :param is_backup: whether to include those that have another main
            replica, which had time to send it
        """
        for link, feed in self._feeds.items():
            if _is_due(feed, version) and (is_backup or feed.is_main):
                feed.sent_version = version
                yield link


def _is_due(feed: _Feed, version: int) -> bool:
    return max(feed.sent_version, feed.held_version) < version
