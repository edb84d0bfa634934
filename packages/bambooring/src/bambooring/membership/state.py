"""Track targets and entry instances by announcements under leases."""

import collections.abc
import dataclasses
import hashlib
import typing

from bambooring.membership import const
from bambooring.membership import messages

Item = typing.TypeVar('Item', messages.Announcement, messages.Presence)


# The fields of an announcement whose change peers must learn at once.
UrgentState = tuple[int, ...]
GetUrgentState = collections.abc.Callable[[typing.Any], UrgentState]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Lease(typing.Generic[Item]):
    """Announcement and the time it was made, by the local clock."""

    item: Item
    made_at: float


class _LeaseTable(typing.Generic[Item]):
    """Newest announcement of each name, until its lease expires.

    :param lease_s: the duration of a lease
    :param renewal_interval_s: minimum time between two mere renewals sent
        to one peer
    :param get_urgent_state: returns the fields whose change is sent at once
    """

    __slots__ = (
        '_get_urgent_state',
        '_lease_s',
        '_leases',
        '_renewal_interval_s',
    )

    def __init__(
        self,
        lease_s: float,
        renewal_interval_s: float,
        get_urgent_state: GetUrgentState,
    ) -> None:
        self._lease_s = lease_s
        self._renewal_interval_s = renewal_interval_s
        self._get_urgent_state = get_urgent_state
        self._leases: dict[str, _Lease[Item]] = {}

    def put(self, name: str, item: Item, now: float) -> bool:
        """Store an announcement.

        :returns: False if it has expired or is not newer than the known one
        """
        made_at = now - item.age_s
        if made_at + self._lease_s <= now:
            return False
        current = self._leases.get(name)
        if current is not None and _get_version(current.item) >= _get_version(
            item
        ):
            return False
        self._leases[name] = _Lease(item=item, made_at=made_at)
        return True

    def drop_expired(self, now: float) -> list[Item]:
        """Remove and return the announcements that have expired."""
        expired_names = [
            name
            for name, lease in self._leases.items()
            if lease.made_at + self._lease_s <= now
        ]
        return [self._leases.pop(name).item for name in expired_names]

    def get_items(self) -> list[Item]:
        """Return all announcements."""
        return [lease.item for lease in self._leases.values()]

    def select_due(
        self, known_versions: dict[str, '_KnownVersion'], now: float
    ) -> collections.abc.Iterator[Item]:
        """Yield the announcements due to be sent, with their present age.

        :param known_versions: what the peer knows by name; updated with
            what is yielded
        """
        for name, lease in self._leases.items():
            if not self._is_due(lease.item, known_versions.get(name), now):
                continue
            known_versions[name] = self.make_known_version(lease.item, now)
            yield dataclasses.replace(lease.item, age_s=now - lease.made_at)

    def make_known_version(self, item: Item, now: float) -> '_KnownVersion':
        """Return the version of an announcement that a peer learns now."""
        return _KnownVersion(
            urgent_state=self._get_urgent_state(item),
            sequence=item.sequence,
            known_at=now,
        )

    def _is_due(
        self, item: Item, known: '_KnownVersion | None', now: float
    ) -> bool:
        """Return whether an announcement is to be sent to a peer (again).

        A mere renewal waits for ``renewal_interval_s``, so that gossip
        costs little while nothing changes.

        :param known: the version that the peer knows, None if it knows none
        """
        if known is None or known.urgent_state != self._get_urgent_state(item):
            return True
        if known.sequence >= item.sequence:
            return False
        return now >= known.known_at + self._renewal_interval_s


@dataclasses.dataclass(slots=True, kw_only=True)
class _KnownVersion:
    """Version of an announcement that a peer knows, and since when."""

    urgent_state: UrgentState
    sequence: int
    known_at: float


def _get_urgent_target_state(
    announcement: messages.Announcement,
) -> UrgentState:
    """Return the fields of an announcement that no mere renewal changes."""
    return (
        announcement.incarnation,
        announcement.is_leaving,
        announcement.is_ready,
    )


def _get_urgent_same_domain_state(presence: messages.Presence) -> UrgentState:
    """Return the fields that instances of the same domain need at once."""
    return (
        presence.incarnation,
        presence.is_leaving,
        presence.held,
        presence.in_force,
    )


def _get_urgent_other_domain_state(presence: messages.Presence) -> UrgentState:
    """Return the fields that instances of other domains need at once."""
    return presence.incarnation, presence.is_leaving


def _get_version(
    item: messages.Announcement | messages.Presence,
) -> tuple[int, int]:
    return item.incarnation, item.sequence


class _PeerVersions:
    """Versions of all announcements that one peer knows, by name."""

    __slots__ = ('announcements', 'presences')

    def __init__(self) -> None:
        self.announcements: dict[str, _KnownVersion] = {}
        self.presences: dict[str, _KnownVersion] = {}


class Directory:
    """The live targets and entry instances that an entry instance knows."""

    def __init__(self, *, instance: str, failure_domain: str) -> None:
        self._instance = instance
        self._failure_domain = failure_domain
        self._targets: _LeaseTable[messages.Announcement] = _LeaseTable(
            const.TARGET_LEASE_S,
            const.RENEWAL_INTERVAL_S,
            _get_urgent_target_state,
        )
        self._same_domain_presences: _LeaseTable[messages.Presence] = (
            _LeaseTable(
                const.SAME_DOMAIN_LEASE_S, 0.0, _get_urgent_same_domain_state
            )
        )
        self._other_domain_presences: _LeaseTable[messages.Presence] = (
            _LeaseTable(
                const.OTHER_DOMAIN_LEASE_S,
                const.RENEWAL_INTERVAL_S,
                _get_urgent_other_domain_state,
            )
        )
        self._peer_versions: dict[str, _PeerVersions] = {}

    def handle_announcement(
        self, announcement: messages.Announcement, now: float
    ) -> bool:
        """Handle the announcement of a target.

        :param announcement: the announcement
        :param now: the current time in seconds
        :returns: True if it is newer than what was known
        """
        return self._targets.put(announcement.target, announcement, now)

    def handle_presence(self, presence: messages.Presence, now: float) -> bool:
        """Handle the announcement of an entry instance.

        :param presence: the announcement
        :param now: the current time in seconds
        :returns: True if it is newer than what was known
        """
        return self._get_table(presence).put(presence.instance, presence, now)

    def _get_table(
        self, presence: messages.Presence
    ) -> _LeaseTable[messages.Presence]:
        if presence.failure_domain == self._failure_domain:
            return self._same_domain_presences
        return self._other_domain_presences

    def handle_gossip(
        self, gossip: messages.Gossip, peer: str, now: float
    ) -> collections.abc.Iterator[messages.Announcement]:
        """Handle gossip and yield the announcements of targets that are new.

        What a peer has sent is not sent back to it.

        :param gossip: the gossip
        :param peer: the peer's instance name
        :param now: the current time in seconds
        """
        peer_versions = self._peer_versions.setdefault(peer, _PeerVersions())
        for presence in gossip.presences:
            table = self._get_table(presence)
            version = table.make_known_version(presence, now)
            peer_versions.presences[presence.instance] = version
            if presence.instance != self._instance:
                self.handle_presence(presence, now)
        for announcement in gossip.announcements:
            version = self._targets.make_known_version(announcement, now)
            peer_versions.announcements[announcement.target] = version
            if self.handle_announcement(announcement, now):
                yield announcement

    def make_gossip(self, peer: str, now: float) -> messages.Gossip | None:
        """Return the gossip due to be sent to a peer, or None.

        :param peer: the peer's instance name
        :param now: the current time in seconds
        """
        peer_versions = self._peer_versions.setdefault(peer, _PeerVersions())
        gossip = messages.Gossip(
            announcements=list(
                self._targets.select_due(peer_versions.announcements, now)
            ),
            presences=[
                *self._same_domain_presences.select_due(
                    peer_versions.presences, now
                ),
                *self._other_domain_presences.select_due(
                    peer_versions.presences, now
                ),
            ],
        )
        if gossip.announcements or gossip.presences:
            return gossip
        return None

    def forget_peer(self, peer: str) -> None:
        """Forget what a peer knows after its link has ended."""
        self._peer_versions.pop(peer, None)

    def drop_expired(self, now: float) -> list[messages.Announcement]:
        """Remove all announcements that have expired.

        :param now: the current time in seconds
        :returns: the announcements of targets that were removed
        """
        self._same_domain_presences.drop_expired(now)
        self._other_domain_presences.drop_expired(now)
        return self._targets.drop_expired(now)

    def get_targets(self) -> list[messages.Announcement]:
        """Return the announcements of the live targets."""
        return self._targets.get_items()

    def get_neighbours(self) -> list[messages.Presence]:
        """Return the other live entry instances of this failure domain."""
        return [
            presence
            for presence in self._same_domain_presences.get_items()
            if presence.instance != self._instance
        ]

    def count_instances(self) -> int:
        """Return the number of live entry instances, this one included."""
        return (
            len(self.get_neighbours())
            + len(self._other_domain_presences.get_items())
            + 1
        )

    def choose_peer_addresses(self) -> list[str]:
        """Return the addresses of the peers to gossip with.

        In the instance's own failure domain these are the next instance by
        name, which makes a ring, and a few by rendezvous hashing (Thaler
        and Ravishankar, 1998). The relays, which are the first instances
        of each domain by name, also gossip with the other domains' relays.
        """
        neighbours = self.get_neighbours()
        neighbours.sort(key=lambda presence: presence.instance)
        successors = [
            presence
            for presence in neighbours
            if presence.instance > self._instance
        ]
        chosen = (successors or neighbours)[:1]
        neighbours.sort(
            key=lambda presence: _compute_rendezvous_score(
                self._instance, presence.instance
            )
        )
        chosen += neighbours[: const.PEER_LINKS]
        if self._is_relay():
            chosen += self._list_relays()
        return list(dict.fromkeys(presence.address for presence in chosen))

    def _is_relay(self) -> bool:
        names = [presence.instance for presence in self.get_neighbours()]
        predecessors = [name for name in names if name < self._instance]
        return len(predecessors) < const.RELAYS_PER_DOMAIN

    def _list_relays(self) -> list[messages.Presence]:
        """Return the relays of the other failure domains."""
        relays = []
        domains: dict[str, list[messages.Presence]] = {}
        for presence in self._other_domain_presences.get_items():
            domains.setdefault(presence.failure_domain, []).append(presence)
        for presences in domains.values():
            presences.sort(key=lambda presence: presence.instance)
            relays += presences[: const.RELAYS_PER_DOMAIN]
        return relays


def _compute_rendezvous_score(first: str, second: str) -> bytes:
    low, high = sorted((first, second))
    return hashlib.blake2b(f'{low}|{high}'.encode()).digest()
