"""Data folder after crashes and damage."""

import errno
import os
import shutil
import tracemalloc

import pytest

from bitterntiller.components.replication import storage
from bitterntiller.components.replication.errors import (
    FolderLockedError,
    LogDamagedError,
    StorageFailedError,
    StorageFullError,
)
from bitterntiller.components.replication.models import (
    Entry,
    HardState,
    Mark,
    Member,
    Membership,
    Persist,
    Snapshot,
)
from bitterntiller.components.replication.storage import Storage

MEMBERS = Membership(1, (Member("a/1", "a", "127.0.0.1:1", True),))
SNAPSHOT = Snapshot(3, 2, MEMBERS, b"state")


def entry(index, term=2, data=b"payload"):
    return Entry(index, term, 1, data)


def wrote(*entries, number=1, truncate=None, snapshot=None):
    hard, marks = HardState(2, "a/1", number), {"b/1": Mark(1, 2, number)}
    return Persist(number, hard, marks, truncate, entries, snapshot)


def reopened(folder):
    opened = Storage(folder, "a")
    opened.close()
    return opened.restored


@pytest.fixture
def folder(tmp_path):
    """A folder with three writes of one entry each."""
    opened = Storage(tmp_path, "a")
    for index in (1, 2, 3):
        opened.write(wrote(entry(index), number=index))
    opened.close()
    return tmp_path


def test_synced_writes_are_restored(folder):
    restored = reopened(folder)
    assert restored.entries == (entry(1), entry(2), entry(3))
    assert restored.hard == HardState(2, "a/1", 3)
    assert restored.marks_by_replica == {"b/1": Mark(1, 2, 3)}
    assert restored.replica == reopened(folder).replica


def test_a_torn_tail_is_cut_at_every_byte(folder):
    """The power fails during a write; the host must restart without manual repair.

    Wherever the last write was cut off, all earlier writes must be kept and the next
    write must follow them.
    """
    log = folder / "log-1"
    data = log.read_bytes()
    last = data.rindex(b"\xf7BT\x01")
    for size in range(last, len(data)):
        log.write_bytes(data[:size])
        opened = Storage(folder, "a")
        assert opened.restored.entries == (entry(1), entry(2))
        opened.write(wrote(entry(3, data=b"new"), number=3))
        opened.close()
        assert reopened(folder).entries[2] == entry(3, data=b"new")


def test_unwritten_blocks_at_the_end_are_cut(folder):
    with (folder / "log-1").open("ab") as file:
        file.write(bytes(5000))
    assert len(reopened(folder).entries) == 3
    assert len(reopened(folder).entries) == 3


def test_a_damaged_middle_is_reported_at_every_byte(folder):
    """A bad sector in the middle of the log must not lose accepted changes.

    Truncating there would drop synced entries after it, so the process must stop and
    report the file and the offset.
    """
    log = folder / "log-1"
    data = log.read_bytes()
    last = data.rindex(b"\xf7BT\x01")
    for offset in range(last):
        log.write_bytes(data[:offset] + bytes([data[offset] ^ 4]) + data[offset + 1 :])
        with pytest.raises(LogDamagedError) as caught:
            Storage(folder, "a")
        assert caught.value.file == str(log)
        assert caught.value.offset <= offset


def test_a_damaged_snapshot_or_identity_is_reported(folder):
    opened = Storage(folder, "a")
    opened.write(wrote(entry(4), snapshot=SNAPSHOT))
    opened.close()
    for name in ("snapshot-3", "identity", "log-2"):
        data = (folder / name).read_bytes()
        for offset in range(0, len(data), 3):
            changed = data[:offset] + bytes([data[offset] ^ 1]) + data[offset + 1 :]
            (folder / name).write_bytes(changed)
            with pytest.raises(LogDamagedError):
                Storage(folder, "a")
        (folder / name).write_bytes(data)
    (folder / "snapshot-3").unlink()
    with pytest.raises(LogDamagedError, match="snapshot 3 is missing"):
        Storage(folder, "a")


def test_truncation_and_snapshots_replace_what_they_should(folder):
    opened = Storage(folder, "a")
    opened.write(wrote(entry(2, term=3), truncate=2))
    assert reopened_copy(folder).entries == (entry(1), entry(2, term=3))
    opened.write(wrote(entry(4), snapshot=SNAPSHOT))
    opened.close()
    restored = reopened(folder)
    assert (restored.snapshot, restored.entries) == (SNAPSHOT, (entry(4),))
    names = {path.name for path in folder.iterdir()}
    assert names == {"identity", "lock", "log-2", "snapshot-3"}


def reopened_copy(folder):
    copy = folder.parent / (folder.name + "-copy")
    shutil.rmtree(copy, ignore_errors=True)
    shutil.copytree(folder, copy)
    return reopened(copy)


def test_a_crash_at_each_step_of_a_snapshot_loses_nothing(folder, monkeypatch):
    """The power fails while a snapshot replaces the log.

    After each sync and each rename, even if the rename itself is lost with the
    unsynced folder, the folder must hold the state from before or after.
    """
    copies = []
    names = ("fsync", "rename", "unlink")

    def copying(name):
        real = getattr(os, name)

        def call(*args, **kwargs):
            copies.append(folder.parent / f"copy-{len(copies)}")
            shutil.copytree(folder, copies[-1])
            return real(*args, **kwargs)

        return call

    opened = Storage(folder, "a")
    with monkeypatch.context() as patch:
        for name in names:
            patch.setattr(storage.os, name, copying(name))
        opened.write(wrote(entry(4), snapshot=SNAPSHOT))
    opened.close()
    assert len(copies) >= 6
    before = (None, (entry(1), entry(2), entry(3)))
    between = (SNAPSHOT, ())
    after = (SNAPSHOT, (entry(4),))
    found = [reopened(copy)[3:] for copy in copies]
    assert found == sorted(found, key=[before, between, after].index)
    assert found[0] == before
    assert found[-1] == after


def test_a_rename_is_synced_before_the_old_file_is_removed(folder, monkeypatch):
    """A power loss after an acknowledgement must not lose the acknowledged entry.

    A rename can be undone unless the folder is synced, so each rename needs a sync of
    the file before it and of the folder after it.
    """
    calls = []
    fsync, rename, unlink = os.fsync, os.rename, os.unlink

    def name_of(fd):
        return os.path.basename(os.readlink(f"/proc/self/fd/{fd}"))

    opened = Storage(folder, "a")
    with monkeypatch.context() as patch:
        patch.setattr(
            storage.os, "fsync", lambda f: calls.append(name_of(f)) or fsync(f)
        )
        patch.setattr(
            storage.os, "rename", lambda a, b: calls.append("rename") or rename(a, b)
        )
        patch.setattr(
            storage.os,
            "unlink",
            lambda a, **k: calls.append("unlink") or unlink(a, **k),
        )
        opened.write(wrote(entry(4), snapshot=SNAPSHOT))
    opened.close()
    assert calls[:6] == [
        *("snapshot-3.new", "rename", folder.name),
        *("log-2.new", "rename", folder.name),
    ]
    assert set(calls[6:]) == {"unlink"}


def test_entries_that_contradict_a_newer_snapshot_are_dropped(folder):
    other = Snapshot(2, 7, MEMBERS, b"state")
    opened = Storage(folder, "a")
    opened._write_snapshot(other)
    opened.close()
    assert reopened(folder)[3:] == (other, ())


def test_a_failed_sync_is_never_retried(folder, monkeypatch):
    opened = Storage(folder, "a")
    with monkeypatch.context() as patch:
        patch.setattr(storage.os, "fdatasync", lambda fd: os.stat("/nonexistent"))
        with pytest.raises(StorageFailedError):
            opened.write(wrote(entry(4)))
    with pytest.raises(StorageFailedError):
        opened.write(wrote(entry(5)))
    opened.close()


def test_two_processes_do_not_share_a_folder(folder):
    opened = Storage(folder, "a")
    with pytest.raises(FolderLockedError):
        Storage(folder, "a")
    opened.close()


def test_a_retired_identity_is_moved_aside(folder):
    opened = Storage(folder, "a")
    old = opened.restored.replica
    opened.retire()
    opened.close()
    restored = reopened(folder)
    assert restored.replica != old
    assert restored.entries == ()
    assert (folder / "aside-1" / "identity").exists()
    assert Storage(folder, "b").restored.replica.startswith("b/")


def test_write_to_a_full_disk_can_be_retried(folder, monkeypatch):
    """The process of a control host ended because its disk was full for some seconds.

    A write finds space for only a part of its bytes. Treated as a failed sync, it would
    end the process, again at each start; instead the part is truncated and the write
    retried.
    """
    opened = Storage(folder, "a")
    write = os.write

    def write_half(fd, data):
        if len(data) < 10:
            raise OSError(errno.ENOSPC, "No space left on device")
        return write(fd, data[: len(data) // 2])

    with monkeypatch.context() as patched:
        patched.setattr(storage.os, "write", write_half)
        with pytest.raises(StorageFullError):
            opened.write(wrote(entry(4), number=4))
    opened.write(wrote(entry(4), number=4))
    opened.close()
    assert reopened(folder).entries == (entry(1), entry(2), entry(3), entry(4))


@pytest.mark.parametrize("call", ["open", "rename"])
def test_snapshot_on_a_disk_without_room_for_its_file_can_be_retried(
    folder, monkeypatch, call
):
    """The process of a control host ended as a snapshot was due on a full disk."""
    opened = Storage(folder, "a")
    taken = wrote(entry(4), number=4, snapshot=SNAPSHOT)

    def refuse(*arguments):
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patched:
        patched.setattr(storage.os, call, refuse)
        with pytest.raises(StorageFullError):
            opened.write(taken)
    opened.write(taken)
    opened.close()
    restored = reopened(folder)
    assert (restored.snapshot, restored.entries) == (SNAPSHOT, (entry(4),))


def test_log_is_read_a_write_at_a_time(tmp_path, monkeypatch):
    """A start held the whole log file three times in memory."""
    opened = Storage(tmp_path, "a")
    for index in range(1, 41):
        opened.write(wrote(entry(index, data=b"x" * 100_000), number=index))
    opened.close()
    reads = []
    decode = storage.decode_batch

    def decode_and_note(payload):
        tracemalloc.reset_peak()
        reads.append(tracemalloc.get_traced_memory()[0])
        return decode(payload)

    monkeypatch.setattr(storage, "decode_batch", decode_and_note)
    tracemalloc.start()
    try:
        restored = reopened(tmp_path)
    finally:
        tracemalloc.stop()
    assert len(restored.entries) == 40
    assert reads[1] < 1_000_000
