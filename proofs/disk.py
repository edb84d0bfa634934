"""Simulate a disk that tears writes, corrupts files, fills up or is lost."""

import random

from bambooring.replication import errors


class CrashError(Exception):
    """Raised in the middle of a write to simulate a crash of the process."""


class MemoryDisk:
    """The files of one replica, in memory.

    It implements :class:`bambooring.replication.storage.Disk`. With
    ``crash_on_append`` set, the next append is torn; while ``is_full`` is
    set, appending and replacing fail.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.files: dict[str, bytes] = {}
        self.crash_on_append = False
        self.is_full = False

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None if there is no file."""
        return self.files.get(name)

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file, or only some of them in a crash.

        :raises CrashError: if ``crash_on_append`` was set
        :raises StorageError: if the disk is full
        """
        self._check_space()
        if self.crash_on_append:
            self.crash_on_append = False
            written = data[: self._rng.randrange(len(data))]
            self.files[name] = self.files.get(name, b'') + written
            raise CrashError
        self.files[name] = self.files.get(name, b'') + data

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically.

        :raises StorageError: if the disk is full
        """
        self._check_space()
        self.files[name] = data

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        self.files[name] = self.files[name][:size]

    def sync(self, name: str) -> None:
        """Do nothing, since each write is durable.

        :raises StorageError: if the disk is full
        """
        self._check_space()

    def _check_space(self) -> None:
        if self.is_full:
            raise errors.StorageError('no space left on simulated disk')

    def corrupt(self, name: str) -> bool:
        """Corrupt a byte in the first half of a file.

        :returns: whether it was corrupted; a short file is left as it is
        """
        data = bytearray(self.files.get(name, b''))
        if len(data) < 400:
            return False
        data[self._rng.randrange(20, len(data) // 2)] ^= 0x55
        self.files[name] = bytes(data)
        return True
