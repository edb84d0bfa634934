"""Test that a torn write is repaired and that corruption is detected."""

import errno
import os
import pathlib
import random
import stat

import pytest

from bambooring.replication import errors
from bambooring.replication import messages
from bambooring.replication import storage
from proofs import disk as disk_module


def _make_batch(index):
    entry = messages.Entry(
        index=index,
        term=1,
        kind=messages.EntryKind.COMMAND,
        data=b'command' * 20,
    )
    return messages.Batch(truncate_from=0, entries=[entry])


@pytest.fixture
def disk():
    """Return a disk with three batches in its log, one entry each."""
    memory_disk = disk_module.MemoryDisk(random.Random(3))
    stored = storage.Storage(memory_disk)
    stored.load()
    for index in (1, 2, 3):
        stored.append_batch(_make_batch(index))
    return memory_disk


def _load(disk):
    return storage.Storage(disk).load().entries


@pytest.mark.parametrize('cut', [1, 7, 8, 9, 60])
def test_torn_last_record_is_cut_off(disk, cut):
    """An incomplete last record is dropped; the others are kept."""
    disk.files['log'] = disk.files['log'][:-cut]
    assert [entry.index for entry in _load(disk)] == [1, 2]
    assert [entry.index for entry in _load(disk)] == [1, 2]


class _CountingBytes(bytes):
    """Bytes that count how many of them are copied."""

    copied_count = 0

    def __getitem__(self, key):
        """Return a slice and count its size."""
        part = super().__getitem__(key)
        if isinstance(part, bytes):
            self.copied_count += len(part)
        return part


# A long torn record kept a replica that came back busy for minutes.
def test_long_torn_record_is_cut_off_fast(disk):
    """The effort grows with the size of the torn record, not its square."""
    entry = messages.Entry(
        index=4,
        term=1,
        kind=messages.EntryKind.COMMAND,
        data=random.Random(4).randbytes(30_000),
    )
    storage.Storage(disk).append_batch(
        messages.Batch(truncate_from=0, entries=[entry])
    )
    data = _CountingBytes(disk.files['log'][:-1])
    disk.files['log'] = data
    assert [entry.index for entry in _load(disk)] == [1, 2, 3]
    assert data.copied_count < 2 * len(data)


def test_corruption_before_valid_records_is_an_error(disk):
    """Corruption in the middle is never mistaken for a torn write."""
    data = bytearray(disk.files['log'])
    data[30] ^= 1
    disk.files['log'] = bytes(data)
    with pytest.raises(errors.CorruptedDataError):
        _load(disk)


def _fail_to_sync_folders(descriptor):
    if stat.S_ISDIR(os.fstat(descriptor).st_mode):
        raise OSError(errno.ENOSPC, 'full')


def _fail_to_read(path):
    raise OSError(errno.EIO, 'unreadable')


# A disk that refused to sync the folder, or to be read, ended the process.
@pytest.mark.parametrize(
    ('module', 'name', 'fail'),
    [
        (os, 'fsync', _fail_to_sync_folders),
        (pathlib.Path, 'read_bytes', _fail_to_read),
    ],
)
def test_every_failure_of_the_disk_is_a_storage_error(
    tmp_path, monkeypatch, module, name, fail
):
    """The replica stops for each of them until its disk works again."""
    written = storage.Storage(storage.FolderDisk(tmp_path))
    written.load()
    monkeypatch.setattr(module, name, fail)
    with pytest.raises(errors.StorageError):
        written.append_batch(_make_batch(1))
        written.load()


# A record whose sync was refused was told as saved after the next load.
def test_loaded_records_are_durable(tmp_path, monkeypatch):
    """The log and the names of the files are synced before they are used."""
    written = storage.Storage(storage.FolderDisk(tmp_path))
    written.load()
    synced = set()

    def refuse(*arguments):
        raise OSError(errno.ENOSPC, 'full')

    with monkeypatch.context() as patch:
        patch.setattr(os, 'fdatasync', refuse)
        patch.setattr(os, 'truncate', refuse)
        with pytest.raises(errors.StorageError):
            written.append_batch(_make_batch(1))
    monkeypatch.setattr(
        os, 'fsync', lambda descriptor: synced.add(os.fstat(descriptor).st_ino)
    )
    assert [entry.index for entry in written.load().entries] == [1]
    assert synced == {
        (tmp_path / 'log').stat().st_ino,
        tmp_path.stat().st_ino,
    }


def test_files_in_a_folder_are_reloaded(tmp_path):
    """What was written is read again, with the same replica id."""
    folder = tmp_path / 'data'
    written = storage.Storage(storage.FolderDisk(folder))
    loaded = written.load()
    written.append_batch(_make_batch(1))
    written.save_hard_state(messages.HardState(term=4, voted_for=9))
    reloaded = storage.Storage(storage.FolderDisk(folder)).load()
    assert reloaded.id == loaded.id
    assert reloaded.hard_state == messages.HardState(term=4, voted_for=9)
    assert [entry.index for entry in reloaded.entries] == [1]


def _make_entry(index, term):
    return messages.Entry(
        index=index, term=term, kind=messages.EntryKind.COMMAND, data=b'x'
    )


class _LogRefusingDisk(disk_module.MemoryDisk):
    """A disk that is full by the time the log is rewritten."""

    is_log_refused = False

    def replace(self, name, data):
        """Replace a file, unless it is the log and the log is refused."""
        if self.is_log_refused and name == 'log':
            raise errors.StorageError('no space left')
        super().replace(name, data)


# Entries that a snapshot had discarded came back, and votes went by them.
def test_entries_behind_another_log_are_not_loaded():
    """A log whose rewriting was refused is used as far as it agrees."""
    disk = _LogRefusingDisk(random.Random(3))
    stored = storage.Storage(disk)
    stored.load()
    stale_entries = [_make_entry(index, 3) for index in range(1, 13)]
    stored.append_batch(messages.Batch(truncate_from=0, entries=stale_entries))
    head = messages.SnapshotHead(index=10, term=5, members=[])
    disk.is_log_refused = True
    with pytest.raises(errors.StorageError):
        stored.save_snapshot(messages.SnapshotFile(head=head, data=b''), [])
    disk.is_log_refused = False
    assert _load(disk) == []
    entry = _make_entry(11, 5)
    storage.Storage(disk).append_batch(
        messages.Batch(truncate_from=0, entries=[entry])
    )
    assert _load(disk) == [entry]
