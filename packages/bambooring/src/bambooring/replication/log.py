"""Keep the part of the replicated log that follows the snapshot."""

import collections.abc

from bambooring.replication import messages
from bambooring_core import codec


class Log:
    """Log entries in memory, those after the last snapshot.

    Indices start at 1. ``snapshot_head`` describes that snapshot; its
    index is 0 if there is none.
    """

    __slots__ = ('_entries', '_size_bytes', 'snapshot_head')

    def __init__(
        self,
        head: messages.SnapshotHead | None = None,
        entries: collections.abc.Iterable[messages.Entry] = (),
    ) -> None:
        self.snapshot_head = head or messages.SnapshotHead(
            index=0, term=0, members=[]
        )
        self._entries = list(entries)
        self._size_bytes = _count_data_bytes(self._entries)

    @property
    def first_index(self) -> int:
        """Return the index of the first entry after the snapshot."""
        return self.snapshot_head.index + 1

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.snapshot_head.index + len(self._entries)

    @property
    def size_bytes(self) -> int:
        """Return the size of the data in all entries after the snapshot."""
        return self._size_bytes

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        if self._entries:
            return self._entries[-1].term
        return self.snapshot_head.term

    def get_term(self, index: int) -> int | None:
        """Return the term at an index, or None if it isn't known here.

        It is known for the snapshot's last entry and those that follow.
        """
        if index == self.snapshot_head.index:
            return self.snapshot_head.term
        if self.first_index <= index <= self.last_index:
            return self._entries[index - self.first_index].term
        return None

    def get_entry(self, index: int) -> messages.Entry:
        """Return the entry at an index."""
        return self._entries[index - self.first_index]

    def get_entries_from(
        self, index: int, limit_bytes: int | None = None
    ) -> list[messages.Entry]:
        """Return the entries from an index on.

        :param index: the first index
        :param limit_bytes: maximum size of the data, which only the first
            entry may exceed
        :returns: the entries, at least one if there is any
        """
        entries = self._entries[index - self.first_index :]
        if limit_bytes is None:
            return entries
        size_bytes = 0
        for position, entry in enumerate(entries):
            size_bytes += len(entry.data)
            if size_bytes > limit_bytes and position:
                return entries[:position]
        return entries

    def append(self, entries: list[messages.Entry]) -> None:
        """Append entries."""
        self._entries += entries
        self._size_bytes += _count_data_bytes(entries)

    def truncate(self, index: int) -> None:
        """Remove the entries from an index on."""
        del self._entries[max(0, index - self.first_index) :]
        self._size_bytes = _count_data_bytes(self._entries)

    def compact(self, head: messages.SnapshotHead) -> None:
        """Remove the entries that a snapshot covers.

        All are removed if the log does not hold the snapshot's last entry.

        :param head: the head of the snapshot
        """
        if self.get_term(head.index) == head.term:
            self._entries = self.get_entries_from(head.index + 1)
        else:
            self._entries = []
        self._size_bytes = _count_data_bytes(self._entries)
        self.snapshot_head = head

    def find_latest_members(self) -> tuple[int, list[messages.Member]]:
        """Return the index and the voters of the latest member list.

        :returns: those of the last entry that lists members, or those of
            the snapshot
        """
        for entry in reversed(self._entries):
            if entry.kind is messages.EntryKind.MEMBERS:
                return entry.index, decode_members(entry.data)
        return self.snapshot_head.index, self.snapshot_head.members


def _count_data_bytes(entries: list[messages.Entry]) -> int:
    return sum(len(entry.data) for entry in entries)


def encode_members(members: list[messages.Member]) -> bytes:
    """Encode a list of voters as the data of a log entry."""
    return codec.pack(messages.Members(members=members))


def decode_members(data: bytes) -> list[messages.Member]:
    """Decode the list of voters in the data of a log entry."""
    return codec.unpack(data).members
