"""Test that files survive tears and that damage is found."""

import random

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
    """Return a disk with three entries in its log."""
    memory_disk = disk_module.MemoryDisk(random.Random(3))
    stored = storage.Storage(memory_disk)
    stored.load()
    for index in (1, 2, 3):
        stored.append_batch(_make_batch(index))
    return memory_disk


def _load(disk):
    return storage.Storage(disk).load().entries


@pytest.mark.parametrize('cut', [1, 7, 8, 9, 60])
def test_torn_tail_is_cut_off(disk, cut):
    """A last record that is not whole is dropped; the rest is kept."""
    disk.files['log'] = disk.files['log'][:-cut]
    assert [entry.index for entry in _load(disk)] == [1, 2]
    assert [entry.index for entry in _load(disk)] == [1, 2]


def test_damage_before_good_records_stops(disk):
    """Damage in the middle is never taken for a tear."""
    data = bytearray(disk.files['log'])
    data[30] ^= 1
    disk.files['log'] = bytes(data)
    with pytest.raises(errors.CorruptedDataError):
        _load(disk)


def test_files_on_a_real_disk(tmp_path):
    """What was written is read again, under the same identity."""
    folder = tmp_path / 'data'
    written = storage.Storage(storage.FolderDisk(folder))
    loaded = written.load()
    written.append_batch(_make_batch(1))
    written.save_hard_state(messages.HardState(term=4, voted_for=9))
    reloaded = storage.Storage(storage.FolderDisk(folder)).load()
    assert reloaded.id == loaded.id
    assert reloaded.hard_state == messages.HardState(term=4, voted_for=9)
    assert [entry.index for entry in reloaded.entries] == [1]
