"""Keep the announcements whose leases hold."""

import collections.abc
import dataclasses
import hashlib
import typing

from bambooring.membership import const
from bambooring.membership import messages

Item = typing.TypeVar('Item', messages.Announcement, messages.Presence)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Lease(typing.Generic[Item]):
    """Hold an announcement and when it was made, by this clock."""

    item: Item
    made_at: float


class _Table(typing.Generic[Item]):
    """Hold the newest announcement of each name."""

    __slots__ = ('_lease_s', '_leases')

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._leases: dict[str, _Lease[Item]] = {}

    def put(self, name: str, item: Item, now: float) -> bool:
        """Take an announcement; False if it is old or no news."""
        made_at = now - item.age_s
        if made_at + self._lease_s <= now:
            return False
        known = self._leases.get(name)
        if known is not None and _get_version(known.item) >= _get_version(
            item
        ):
            return False
        self._leases[name] = _Lease(item=item, made_at=made_at)
        return True

    def drop_expired(self, now: float) -> list[Item]:
        """Drop and return what has expired."""
        gone = [
            name
            for name, lease in self._leases.items()
            if lease.made_at + self._lease_s <= now
        ]
        return [self._leases.pop(name).item for name in gone]

    def get_items(self) -> list[Item]:
        """Return every announcement."""
        return [lease.item for lease in self._leases.values()]

    def select_newer(
        self, sent: dict[str, tuple[int, int]], now: float
    ) -> collections.abc.Iterator[Item]:
        """Yield what was not sent yet, aged to now, and mark it sent."""
        for name, lease in self._leases.items():
            version = _get_version(lease.item)
            if sent.get(name) == version:
                continue
            sent[name] = version
            yield dataclasses.replace(lease.item, age_s=now - lease.made_at)


def _get_version(
    item: messages.Announcement | messages.Presence,
) -> tuple[int, int]:
    return item.incarnation, item.sequence


class _Sent:
    """Hold which versions a peer was sent."""

    __slots__ = ('announcements', 'presences')

    def __init__(self) -> None:
        self.announcements: dict[str, tuple[int, int]] = {}
        self.presences: dict[str, tuple[int, int]] = {}


class Directory:
    """Hold what one entry instance knows of targets and its peers."""

    def __init__(self, *, instance: str, failure_domain: str) -> None:
        self._instance = instance
        self._failure_domain = failure_domain
        self._targets: _Table[messages.Announcement] = _Table(
            const.TARGET_LEASE_S
        )
        self._presences: _Table[messages.Presence] = _Table(
            const.PRESENCE_LEASE_S
        )
        self._sent: dict[str, _Sent] = {}

    def announce(self, item: messages.Announcement, now: float) -> bool:
        """Take a target's announcement.

        :param item: the announcement
        :param now: the current time in seconds
        :returns: True if it is news
        """
        return self._targets.put(item.target, item, now)

    def note_presence(self, item: messages.Presence, now: float) -> bool:
        """Take an entry instance's presence.

        :param item: the presence
        :param now: the current time in seconds
        :returns: True if it is news
        """
        return self._presences.put(item.instance, item, now)

    def receive(
        self, gossip: messages.Gossip, now: float
    ) -> collections.abc.Iterator[messages.Announcement]:
        """Take a peer's gossip and yield the targets that are news.

        :param gossip: the gossip
        :param now: the current time in seconds
        """
        for presence in gossip.presences:
            if presence.instance != self._instance:
                self.note_presence(presence, now)
        for announcement in gossip.announcements:
            if self.announce(announcement, now):
                yield announcement

    def make_gossip(self, peer: str, now: float) -> messages.Gossip | None:
        """Make the gossip for a peer, or None if there is no news.

        :param peer: the peer's instance name
        :param now: the current time in seconds
        """
        sent = self._sent.setdefault(peer, _Sent())
        gossip = messages.Gossip(
            announcements=list(
                self._targets.select_newer(sent.announcements, now)
            ),
            presences=list(self._presences.select_newer(sent.presences, now)),
        )
        if gossip.announcements or gossip.presences:
            return gossip
        return None

    def forget_peer(self, peer: str) -> None:
        """Forget what a peer was sent, as its link ended."""
        self._sent.pop(peer, None)

    def drop_expired(self, now: float) -> list[messages.Announcement]:
        """Drop what has expired.

        :param now: the current time in seconds
        :returns: the targets whose leases ended
        """
        self._presences.drop_expired(now)
        return self._targets.drop_expired(now)

    def get_targets(self) -> list[messages.Announcement]:
        """Return the targets whose leases hold."""
        return self._targets.get_items()

    def get_neighbours(self) -> list[messages.Presence]:
        """Return the other live entry instances of this domain."""
        return [
            presence
            for presence in self._presences.get_items()
            if presence.failure_domain == self._failure_domain
            and presence.instance != self._instance
        ]

    def count_instances(self) -> int:
        """Return how many entry instances live, this one included."""
        others = [
            presence
            for presence in self._presences.get_items()
            if presence.instance != self._instance
        ]
        return len(others) + 1

    def choose_peers(self) -> list[str]:
        """Choose the neighbours' addresses to keep links to.

        Rendezvous hashing (Thaler and Ravishankar, 1998) picks them, so
        that the choice is stable as instances come and go.
        """
        neighbours = self.get_neighbours()
        neighbours.sort(
            key=lambda presence: _score(self._instance, presence.instance)
        )
        return [
            presence.address for presence in neighbours[: const.PEER_LINKS]
        ]


def _score(first: str, second: str) -> bytes:
    low, high = sorted((first, second))
    return hashlib.blake2b(f'{low}|{high}'.encode()).digest()
