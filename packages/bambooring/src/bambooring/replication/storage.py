"""Keep a replica's state in files that survive a crash.

The log file is a sequence of records, one for each write: a CRC-32, a
length and a packed batch. A crash can tear only the last record, since
each write is synced before the next begins. The files of the hard state
and of the snapshot are replaced as a whole.
"""

import collections.abc
import contextlib
import dataclasses
import os
import pathlib
import secrets
import struct
import typing
import zlib

from bambooring.replication import const
from bambooring.replication import errors
from bambooring.replication import log as log_module
from bambooring.replication import messages
from bambooring_core import codec
from bambooring_core import errors as core_errors

# The CRC-32 of the payload and its length in bytes.
_RECORD_HEADER = struct.Struct('<II')


class Disk(typing.Protocol):
    """Named files; what a call has written is durable once it returns."""

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None if there is no file."""

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file and sync it."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically and sync it."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes and sync it."""

    def sync(self, name: str) -> None:
        """Make durable what is in a file, and the names of all files."""


@contextlib.contextmanager
def _turn_errors(path: pathlib.Path) -> collections.abc.Iterator[None]:
    """Turn an error of the file system into one of this layer."""
    try:
        yield
    except OSError as error:
        raise errors.StorageError(f'{path}: {error}') from error


class FolderDisk:
    """Files in one folder of the file system."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None if there is no file."""
        path = self._folder / name
        with _turn_errors(path):
            try:
                return path.read_bytes()
            except FileNotFoundError:
                return None

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file and sync it."""
        path = self._folder / name
        with _turn_errors(path):
            is_new = not path.exists()
            size_before = 0 if is_new else path.stat().st_size
            try:
                with path.open('ab') as file:
                    file.write(data)
                    file.flush()
                    os.fdatasync(file.fileno())
            except OSError:
                # Remove what was written of it, so that the next record
                # doesn't follow a torn one.
                with contextlib.suppress(OSError):
                    os.truncate(path, size_before)
                raise
            if is_new:
                self._sync_folder()

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically and sync it."""
        path = self._folder / name
        temporary_path = path.with_suffix('.new')
        with _turn_errors(path):
            self._folder.mkdir(parents=True, exist_ok=True)
            with temporary_path.open('wb') as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            temporary_path.rename(path)
            self._sync_folder()

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes and sync it."""
        path = self._folder / name
        with _turn_errors(path), path.open('r+b') as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def sync(self, name: str) -> None:
        """Make durable what is in a file, and the names of all files."""
        path = self._folder / name
        with _turn_errors(path):
            if path.exists():
                with path.open('r+b') as file:
                    os.fsync(file.fileno())
            self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


@dataclasses.dataclass(slots=True, kw_only=True)
class LoadedState:
    """What a data folder contained when it was loaded."""

    id: int
    hard_state: messages.HardState
    snapshot: messages.SnapshotFile | None
    entries: list[messages.Entry]


class Storage:
    """Load and save a replica's state on a disk.

    :param make_id: draws the id of a new replica, never 0
    """

    def __init__(
        self,
        disk: Disk,
        make_id: collections.abc.Callable[[], int] | None = None,
    ) -> None:
        self._disk = disk
        self._make_id = make_id or (lambda: secrets.randbits(63) | 1)

    def load(self) -> LoadedState:
        """Read all files and cut off a torn record at the log's end.

        What was written last may have been read without having been synced:
        the process was killed or the sync was refused. Others are told of it
        as saved, so it is synced first.

        :returns: what is stored, with a new id if the folder has none
        :raises CorruptedDataError: if a file's content can't be trusted
        :raises StorageError: if the disk can't be written
        """
        identity = self._load_message(const.FILE_IDENTITY)
        if identity is None:
            identity = messages.ReplicaIdentity(id=self._make_id())
            self._save_message(const.FILE_IDENTITY, identity)
        snapshot = self._load_message(const.FILE_SNAPSHOT)
        loaded = LoadedState(
            id=identity.id,
            hard_state=self._load_hard_state(),
            snapshot=snapshot,
            entries=self._load_entries(snapshot),
        )
        self._disk.sync(const.FILE_LOG)
        return loaded

    def check_writable(self) -> None:
        """Write the smallest file anew, with the content that it has.

        :raises CorruptedDataError: if its content can't be trusted
        :raises StorageError: if the disk can't be written
        """
        self.save_hard_state(self._load_hard_state())

    def _load_hard_state(self) -> messages.HardState:
        return self._load_message(const.FILE_STATE) or messages.HardState()

    def save_hard_state(self, state: messages.HardState) -> None:
        """Save the term and the vote."""
        self._save_message(const.FILE_STATE, state)

    def append_batch(self, batch: messages.Batch) -> None:
        """Append a batch to the log file."""
        self._disk.append(const.FILE_LOG, _frame_record(codec.pack(batch)))

    def save_snapshot(
        self,
        snapshot: messages.SnapshotFile,
        following_entries: list[messages.Entry],
    ) -> None:
        """Save a snapshot and rewrite the log file without what it covers.

        :param snapshot: the snapshot
        :param following_entries: the entries that follow it
        """
        self._save_message(const.FILE_SNAPSHOT, snapshot)
        self._save_log(following_entries)

    def _save_log(self, entries: list[messages.Entry]) -> None:
        batch = messages.Batch(truncate_from=0, entries=entries)
        self._disk.replace(const.FILE_LOG, _frame_record(codec.pack(batch)))

    def _save_message(self, name: str, message: typing.Any) -> None:
        self._disk.replace(name, _frame_record(codec.pack(message)))

    def _load_message(self, name: str) -> typing.Any:
        data = self._disk.read(name)
        if data is None:
            return None
        payload, end = _read_record(data, 0)
        if payload is None or end != len(data):
            raise errors.CorruptedDataError(f'{name}: corrupted record')
        return _decode(name, payload)

    def _load_entries(
        self, snapshot: messages.SnapshotFile | None
    ) -> list[messages.Entry]:
        log = log_module.Log(snapshot.head if snapshot else None)
        term_at_head = log.snapshot_head.term
        for batch in self._read_batches():
            _replay_batch(log, batch)
            for entry in batch.entries:
                if entry.index == log.snapshot_head.index:
                    term_at_head = entry.term
        if term_at_head != log.snapshot_head.term:
            # The log wasn't rewritten after the snapshot of another log. What
            # is appended to it later must not follow these entries either.
            self._save_log([])
            return []
        return log.get_entries_from(log.first_index)

    def _read_batches(self) -> collections.abc.Iterator[messages.Batch]:
        data = self._disk.read(const.FILE_LOG) or b''
        offset = 0
        while offset < len(data):
            payload, end = _read_record(data, offset)
            if payload is None:
                self._truncate_torn_tail(data, offset)
                return
            yield _decode(const.FILE_LOG, payload)
            offset = end

    def _truncate_torn_tail(self, data: bytes, offset: int) -> None:
        """Cut off a torn record at the end of the log file.

        A valid record after it shows that the file is corrupted: a crash
        can tear only the last one.

        :raises CorruptedDataError: if a valid record follows
        """
        for start in range(offset + 1, len(data) - _RECORD_HEADER.size):
            payload, _ = _read_record(data, start)
            if payload:
                raise errors.CorruptedDataError(
                    f'log: corrupted at byte {offset}, valid at byte {start}'
                )
        self._disk.truncate(const.FILE_LOG, offset)


def read_identity(data: bytes) -> int:
    """Return the replica id stored in an identity file.

    :param data: the content of the file
    :raises CorruptedDataError: if it can't be trusted
    """
    payload, _ = _read_record(data, 0)
    if payload is None:
        raise errors.CorruptedDataError(
            f'{const.FILE_IDENTITY}: corrupted record'
        )
    return _decode(const.FILE_IDENTITY, payload).id


def _replay_batch(log: log_module.Log, batch: messages.Batch) -> None:
    if batch.truncate_from:
        log.truncate(batch.truncate_from)
    for entry in batch.entries:
        if entry.index <= log.snapshot_head.index:
            continue
        if entry.index != log.last_index + 1:
            raise errors.CorruptedDataError(
                f'log: entry {entry.index} follows entry {log.last_index}'
            )
        log.append([entry])


def _frame_record(payload: bytes) -> bytes:
    return _RECORD_HEADER.pack(zlib.crc32(payload), len(payload)) + payload


def _read_record(data: bytes, offset: int) -> tuple[bytes | None, int]:
    """Read the record at an offset.

    :returns: its payload and the offset after it, or None and the same
        offset if there is no valid record
    """
    if len(data) - offset < _RECORD_HEADER.size:
        return None, offset
    crc, size = _RECORD_HEADER.unpack_from(data, offset)
    start = offset + _RECORD_HEADER.size
    if not size or size > len(data) - start:
        return None, offset
    payload = data[start : start + size]
    if zlib.crc32(payload) != crc:
        return None, offset
    return payload, start + size


def _decode(name: str, payload: bytes) -> typing.Any:
    try:
        return codec.unpack(payload)
    except core_errors.FrameError as error:
        raise errors.CorruptedDataError(f'{name}: {error}') from error
