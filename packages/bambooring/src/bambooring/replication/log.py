"""Hold the part of the replicated log that follows the snapshot."""

import collections.abc

from bambooring.replication import messages
from bambooring_core import codec


class Log:
    """Hold entries in memory; indices start at 1."""

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
        """Return the index of the first entry that is held."""
        return self.snapshot_head.index + 1

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.snapshot_head.index + len(self._entries)

    @property
    def size_bytes(self) -> int:
        """Return the size of the data in the entries that are held."""
        return self._size_bytes

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        if self._entries:
            return self._entries[-1].term
        return self.snapshot_head.term

    def get_term(self, index: int) -> int | None:
        """Return an entry's term, or None if it is not held."""
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
        """Return entries from an index on.

        :param index: the first index
        :param limit_bytes: stop after about so many bytes of data
        :returns: the entries, one at least if there is one
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
        """Add entries at the end."""
        self._entries += entries
        self._size_bytes += _count_data_bytes(entries)

    def truncate(self, index: int) -> None:
        """Drop the entries from an index on."""
        del self._entries[max(0, index - self.first_index) :]
        self._size_bytes = _count_data_bytes(self._entries)

    def compact(self, head: messages.SnapshotHead) -> None:
        """Drop the entries that a snapshot covers.

        :param head: the snapshot's head
        """
        if self.get_term(head.index) == head.term:
            self._entries = self.get_entries_from(head.index + 1)
        else:
            self._entries = []
        self._size_bytes = _count_data_bytes(self._entries)
        self.snapshot_head = head

    def find_latest_members(self) -> tuple[int, list[messages.Member]]:
        """Return the newest list of voters and its index.

        :returns: the index and the voters, from the log or the snapshot
        """
        for entry in reversed(self._entries):
            if entry.kind is messages.EntryKind.MEMBERS:
                return entry.index, decode_members(entry.data)
        return self.snapshot_head.index, self.snapshot_head.members


def _count_data_bytes(entries: list[messages.Entry]) -> int:
    return sum(len(entry.data) for entry in entries)


def encode_members(members: list[messages.Member]) -> bytes:
    """Encode a list of voters as an entry's data."""
    return codec.pack(messages.Members(members=members))


def decode_members(data: bytes) -> list[messages.Member]:
    """Decode an entry's list of voters."""
    return codec.unpack(data).members
