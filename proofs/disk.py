"""Keep files in memory that can be torn, damaged, filled and lost."""

import random

from bambooring.replication import errors


class CrashError(Exception):
    """End a process in the middle of a write."""


class MemoryDisk:
    """Keep a replica's files in memory."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.files: dict[str, bytes] = {}
        self.crash_on_append = False
        self.is_full = False

    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, or None if there is none."""
        return self.files.get(name)

    def append(self, name: str, data: bytes) -> None:
        """Add bytes; a crash leaves a part of them."""
        self._check_space()
        if self.crash_on_append:
            self.crash_on_append = False
            part = data[: self._rng.randrange(len(data))]
            self.files[name] = self.files.get(name, b'') + part
            raise CrashError
        self.files[name] = self.files.get(name, b'') + data

    def replace(self, name: str, data: bytes) -> None:
        """Put a file in place in one step."""
        self._check_space()
        self.files[name] = data

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size."""
        self.files[name] = self.files[name][:size]

    def _check_space(self) -> None:
        if self.is_full:
            raise errors.StorageError('no space left')

    def corrupt(self, name: str) -> bool:
        """Flip a byte in the first half of a file; False if too short."""
        data = bytearray(self.files.get(name, b''))
        if len(data) < 400:
            return False
        data[self._rng.randrange(20, len(data) // 2)] ^= 0x55
        self.files[name] = bytes(data)
        return True
