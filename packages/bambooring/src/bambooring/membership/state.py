"""Keep the announcements whose leases hold."""

import collections.abc
import dataclasses
import hashlib
import typing

from bambooring.membership import const
from bambooring.membership import messages

Item = typing.TypeVar('Item', messages.Announcement, messages.Presence)


State = tuple[int, ...]
GetState = collections.abc.Callable[[typing.Any], State]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Lease(typing.Generic[Item]):
    """Hold an announcement and when it was made, by this clock."""

    item: Item
    made_at: float


class _Table(typing.Generic[Item]):
    """Hold the newest announcement of each name."""

    __slots__ = ('_get_state', '_lease_s', '_leases', '_renewal_s')

    def __init__(
        self, lease_s: float, renewal_s: float, get_state: GetState
    ) -> None:
        self._lease_s = lease_s
        self._renewal_s = renewal_s
        self._get_state = get_state
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
        self, sent: dict[str, '_Version'], now: float
    ) -> collections.abc.Iterator[Item]:
        """Yield what was not sent yet, aged to now, and mark it sent."""
        for name, lease in self._leases.items():
            if not self._is_due(lease.item, sent.get(name), now):
                continue
            sent[name] = self.make_version(lease.item, now)
            yield dataclasses.replace(lease.item, age_s=now - lease.made_at)

    def make_version(self, item: Item, now: float) -> '_Version':
        """Return what a peer knows that was told of an item now."""
        return _Version(
            state=self._get_state(item), sequence=item.sequence, at=now
        )

    def _is_due(self, item: Item, sent: '_Version | None', now: float) -> bool:
        """Tell whether a peer is to hear of an item again.

        A mere renewal waits, so that gossip costs little while nothing
        changes.
        """
        if sent is None or sent.state != self._get_state(item):
            return True
        if sent.sequence >= item.sequence:
            return False
        return now >= sent.at + self._renewal_s


@dataclasses.dataclass(slots=True, kw_only=True)
class _Version:
    """Hold what a peer knows of one name, and since when."""

    state: State
    sequence: int
    at: float


def _get_target_state(item: messages.Announcement) -> State:
    """Return all of an announcement that is not a mere renewal."""
    return item.incarnation, item.is_leaving, item.is_ready


def _get_near_state(item: messages.Presence) -> State:
    """Return what neighbours must hear of a presence at once."""
    return item.incarnation, item.is_leaving, item.held, item.in_force


def _get_far_state(item: messages.Presence) -> State:
    """Return what other domains must hear of a presence at once."""
    return item.incarnation, item.is_leaving


def _get_version(
    item: messages.Announcement | messages.Presence,
) -> tuple[int, int]:
    return item.incarnation, item.sequence


class _Sent:
    """Hold which versions a peer was sent."""

    __slots__ = ('announcements', 'presences')

    def __init__(self) -> None:
        self.announcements: dict[str, _Version] = {}
        self.presences: dict[str, _Version] = {}


class Directory:
    """Hold what one entry instance knows of targets and its peers."""

    def __init__(self, *, instance: str, failure_domain: str) -> None:
        self._instance = instance
        self._failure_domain = failure_domain
        self._targets: _Table[messages.Announcement] = _Table(
            const.TARGET_LEASE_S, const.RENEWAL_S, _get_target_state
        )
        self._near: _Table[messages.Presence] = _Table(
            const.NEAR_LEASE_S, 0.0, _get_near_state
        )
        self._far: _Table[messages.Presence] = _Table(
            const.FAR_LEASE_S, const.RENEWAL_S, _get_far_state
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
        return self._get_table(item).put(item.instance, item, now)

    def _get_table(self, item: messages.Presence) -> _Table[messages.Presence]:
        if item.failure_domain == self._failure_domain:
            return self._near
        return self._far

    def receive(
        self, gossip: messages.Gossip, peer: str, now: float
    ) -> collections.abc.Iterator[messages.Announcement]:
        """Take a peer's gossip and yield the targets that are news.

        What a peer has told is not told it again.

        :param gossip: the gossip
        :param peer: the peer's instance name
        :param now: the current time in seconds
        """
        sent = self._sent.setdefault(peer, _Sent())
        for presence in gossip.presences:
            table = self._get_table(presence)
            version = table.make_version(presence, now)
            sent.presences[presence.instance] = version
            if presence.instance != self._instance:
                self.note_presence(presence, now)
        for announcement in gossip.announcements:
            version = self._targets.make_version(announcement, now)
            sent.announcements[announcement.target] = version
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
            presences=[
                *self._near.select_newer(sent.presences, now),
                *self._far.select_newer(sent.presences, now),
            ],
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
        self._near.drop_expired(now)
        self._far.drop_expired(now)
        return self._targets.drop_expired(now)

    def get_targets(self) -> list[messages.Announcement]:
        """Return the targets whose leases hold."""
        return self._targets.get_items()

    def get_neighbours(self) -> list[messages.Presence]:
        """Return the other live entry instances of this domain."""
        return [
            presence
            for presence in self._near.get_items()
            if presence.instance != self._instance
        ]

    def count_instances(self) -> int:
        """Return how many entry instances live, this one included."""
        return len(self.get_neighbours()) + len(self._far.get_items()) + 1

    def choose_peers(self) -> list[str]:
        """Choose the addresses of the peers to gossip to.

        In the own domain these are the next by name, which makes a ring,
        and a few by rendezvous hashing (Thaler and Ravishankar, 1998). The
        first by name of each domain also gossip to those of the others.
        """
        here = self.get_neighbours()
        here.sort(key=lambda item: item.instance)
        after = [item for item in here if item.instance > self._instance]
        chosen = (after or here)[:1]
        here.sort(key=lambda item: _score(self._instance, item.instance))
        chosen += here[: const.PEER_LINKS]
        if self._is_relay():
            chosen += self._list_relays()
        return list(dict.fromkeys(item.address for item in chosen))

    def _is_relay(self) -> bool:
        names = [item.instance for item in self.get_neighbours()]
        before = [name for name in names if name < self._instance]
        return len(before) < const.RELAYS

    def _list_relays(self) -> list[messages.Presence]:
        """Return the first instances by name of each other domain."""
        relays = []
        domains: dict[str, list[messages.Presence]] = {}
        for item in self._far.get_items():
            domains.setdefault(item.failure_domain, []).append(item)
        for there in domains.values():
            there.sort(key=lambda item: item.instance)
            relays += there[: const.RELAYS]
        return relays


def _score(first: str, second: str) -> bytes:
    low, high = sorted((first, second))
    return hashlib.blake2b(f'{low}|{high}'.encode()).digest()
