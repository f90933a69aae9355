"""Data folder of a replica.

It holds identity (the replica id), one log-N (a first frame with the whole state, then
one frame per write) and one snapshot-INDEX. A new log or snapshot is written under a
temporary name, synced and renamed, then the folder is synced and the old file removed.
These calls block and are run in a thread.
"""

import errno
import fcntl
import json
import os
import re
import uuid
import zlib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from bitterntiller.protocol import MalformedMessageError

from . import frames
from .errors import (
    FolderLockedError,
    LogDamagedError,
    StorageFailedError,
    StorageFullError,
)
from .models import HardState, Persist, PersistentState, Snapshot
from .records import (
    Replay,
    decode_batch,
    decode_snapshot,
    encode_batch,
    encode_snapshot,
)

_LOG = re.compile(r"log-(\d+)")
_SNAPSHOT = re.compile(r"snapshot-(\d+)")
_ASIDE = re.compile(r"aside-(\d+)")
_IDENTITY = "identity"
_LOCK = "lock"
_TEMPORARY = ".new"
_DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)


class Storage:
    """Open data folder, locked against other processes."""

    def __init__(self, folder: Path, host: str) -> None:
        self._folder = folder
        self._host = host
        self._failed = ""
        self._log_fd = -1
        self._log_number = 0
        self._log_bytes = 0
        self._snapshot_bytes = 0
        self._aside_bytes = 0
        self._header = frames.new_header(0)
        folder.mkdir(parents=True, exist_ok=True)
        self._lock_fd = _lock(folder)
        try:
            self.restored = self._open()
        except BaseException:
            self.close()
            raise

    def _open(self) -> PersistentState:
        self._remove_temporary()
        self._aside_bytes = self._measure_aside()
        replica = self._read_identity()
        if replica is None or replica.rpartition("/")[0] != self._host:
            self._move_aside()
            return self._create()
        return self._load(replica)

    def take_restored(self) -> PersistentState:
        """Return the state read at the start, once; it isn't kept here any longer."""
        restored = self.restored
        self.restored = restored._replace(snapshot=None, entries=())
        return restored

    @property
    def restored_bytes(self) -> int:
        """Size of the entries and the snapshot that were read at the start."""
        snapshot = self.restored.snapshot
        size = sum(len(entry.data) for entry in self.restored.entries)
        return size + (len(snapshot.data) if snapshot else 0)

    @property
    def disk_bytes(self) -> int:
        """Size of the log and the snapshot, and of the files of retired identities."""
        return self._log_bytes + self._snapshot_bytes + self._aside_bytes

    def write(self, persist: Persist) -> None:
        """Write and sync records; raise StorageFailedError if that fails.

        Raise StorageFullError if the disk is full. The stored state is then unchanged:
        the partial write is truncated and nothing was synced. Any other failure is
        final, since after a failed sync the kernel may have dropped the unwritten data
        and report success for the next sync.
        """
        if self._failed:
            raise StorageFailedError(self._failed)
        try:
            self._write(persist)
        except _DiskFullError as error:
            raise StorageFullError(f"{self._folder}: no room") from error
        except OSError as error:
            self._failed = f"{self._folder}: {error}"
            raise StorageFailedError(self._failed) from error

    def _write(self, persist: Persist) -> None:
        if persist.snapshot is not None:
            self._write_snapshot(persist.snapshot)
            self._begin_log(persist.snapshot.index, persist)
            self._remove_obsolete(persist.snapshot.index)
            return
        frame = frames.encode_frame(self._header, encode_batch(persist))
        _write_all(self._log_fd, frame)
        os.fdatasync(self._log_fd)
        self._log_bytes += len(frame)

    def retire(self) -> None:
        """Retire this identity: move its files aside and create a new identity."""
        os.close(self._log_fd)
        self._log_fd = -1
        self._move_aside()
        self.restored = self._create()

    def close(self) -> None:
        """Close the files and release the lock."""
        if self._log_fd != -1:
            os.close(self._log_fd)
        os.close(self._lock_fd)

    def _create(self) -> PersistentState:
        replica = f"{self._host}/{uuid.uuid4().hex}"
        restored = PersistentState(replica, HardState(), {}, None, ())
        self._begin_log(0, Persist(0, HardState(), {}, None, (), None))
        text = json.dumps({"replica": replica, "crc": zlib.crc32(replica.encode())})
        # The identity is written last: a folder without one was never used.
        self._write_file(_IDENTITY, text.encode())
        return restored

    def _read_identity(self) -> str | None:
        path = self._folder / _IDENTITY
        if not path.exists():
            return None
        try:
            found = json.loads(path.read_bytes())
            replica = found["replica"]
            valid = zlib.crc32(replica.encode()) == found["crc"]
        except (ValueError, KeyError, TypeError, AttributeError):
            valid = False
        if not valid:
            raise LogDamagedError(str(path), 0, "the identity is damaged")
        return replica

    def _load(self, replica: str) -> PersistentState:
        snapshot = self._load_snapshot()
        number, path = max(self._numbered(_LOG), default=(0, None))
        if path is None:
            raise LogDamagedError(str(self._folder), 0, "the log is missing")
        with path.open("rb") as file:
            reader = frames.FrameReader(str(path), file, required_frames=1)
            self._header = reader.header
            if self._header.base > (snapshot.index if snapshot else 0):
                raise LogDamagedError(
                    str(path), 0, f"snapshot {self._header.base} is missing"
                )
            replay = Replay(PersistentState(replica, HardState(), {}, snapshot, ()))
            for payload in reader:
                replay.apply(_decoded(path, payload))
        self._log_number = number
        self._log_fd = os.open(path, os.O_WRONLY | os.O_APPEND)
        self._log_bytes = reader.valid_bytes
        if reader.valid_bytes < path.stat().st_size:
            os.ftruncate(self._log_fd, reader.valid_bytes)
            os.fsync(self._log_fd)
        self._remove_obsolete(snapshot.index if snapshot else 0)
        return replay.restored()

    def _load_snapshot(self) -> Snapshot | None:
        _, path = max(self._numbered(_SNAPSHOT), default=(0, None))
        if path is None:
            return None
        data = path.read_bytes()
        payloads, _ = frames.decode_frames(str(path), data, required_frames=1)
        self._snapshot_bytes = len(data)
        try:
            return decode_snapshot(payloads[0])
        except MalformedMessageError as error:
            raise LogDamagedError(str(path), frames.HEADER_SIZE, str(error)) from error

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        header = frames.new_header(snapshot.index)
        frame = frames.encode_frame(header, encode_snapshot(snapshot))
        data = frames.encode_header(header) + frame
        self._write_file(f"snapshot-{snapshot.index}", data)
        self._snapshot_bytes = len(data)

    def _begin_log(self, base: int, state: Persist) -> None:
        header = frames.new_header(base)
        frame = frames.encode_frame(header, encode_batch(state))
        number = self._log_number + 1
        data = frames.encode_header(header) + frame
        path = self._write_file(f"log-{number}", data)
        if self._log_fd != -1:
            os.close(self._log_fd)
        self._log_fd = os.open(path, os.O_WRONLY | os.O_APPEND)
        self._log_number = number
        self._log_bytes = len(data)
        self._header = header

    def _write_file(self, name: str, data: bytes) -> Path:
        """Write a file atomically: after a crash it is complete or absent."""
        temporary = self._folder / (name + _TEMPORARY)
        with _reporting_full_disk():
            fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            _write_all(fd, data)
            os.fsync(fd)
        finally:
            os.close(fd)
        path = self._folder / name
        with _reporting_full_disk():
            os.rename(temporary, path)
        # Without this sync a power loss could undo the rename although data that
        # depends on it has been acknowledged.
        _sync_folder(self._folder)
        return path

    def _numbered(self, pattern: re.Pattern[str]) -> list[tuple[int, Path]]:
        matches = ((pattern.fullmatch(p.name), p) for p in self._folder.iterdir())
        return [(int(match[1]), path) for match, path in matches if match]

    def _remove_obsolete(self, snapshot_index: int) -> None:
        for number, path in self._numbered(_LOG):
            if number < self._log_number:
                path.unlink()
        for number, path in self._numbered(_SNAPSHOT):
            if number < snapshot_index:
                path.unlink()

    def _measure_aside(self) -> int:
        folders = [path for _, path in self._numbered(_ASIDE)]
        return sum(p.stat().st_size for folder in folders for p in folder.iterdir())

    def _remove_temporary(self) -> None:
        for path in self._folder.glob("*" + _TEMPORARY):
            path.unlink()

    def _move_aside(self) -> None:
        """Move the files of a retired identity into an aside-N subfolder."""
        found = self._numbered(_LOG) + self._numbered(_SNAPSHOT)
        identity = self._folder / _IDENTITY
        if not found and not identity.exists():
            return
        number = max((n for n, _ in self._numbered(_ASIDE)), default=0) + 1
        aside = self._folder / f"aside-{number}"
        aside.mkdir()
        # The identity is moved first: without it the other files are never used again.
        if identity.exists():
            identity.rename(aside / _IDENTITY)
            _sync_folder(self._folder)
        for _, path in found:
            path.rename(aside / path.name)
        _sync_folder(self._folder)
        self._snapshot_bytes = 0
        self._aside_bytes = self._measure_aside()


def _decoded(path: Path, payload: bytes) -> Persist:
    try:
        return decode_batch(payload)
    except MalformedMessageError as error:
        raise LogDamagedError(str(path), 0, str(error)) from error


def _lock(folder: Path) -> int:
    fd = os.open(folder / _LOCK, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(fd)
        raise FolderLockedError(f"{folder} is used by another process") from error
    return fd


class _DiskFullError(Exception):
    """The disk is full; files have their previous names and lengths."""


@contextmanager
def _reporting_full_disk() -> Iterator[None]:
    """Raise _DiskFullError in place of the error of a call that found no room."""
    try:
        yield
    except OSError as error:
        if error.errno not in _DISK_FULL_ERRNOS:
            raise
        raise _DiskFullError from error


def _write_all(fd: int, data: bytes) -> None:
    """Append to a file; raise _DiskFullError if the disk is full."""
    before = os.fstat(fd).st_size
    view = memoryview(data)
    try:
        with _reporting_full_disk():
            while view:
                view = view[os.write(fd, view) :]
    except _DiskFullError:
        os.ftruncate(fd, before)
        raise


def _sync_folder(folder: Path) -> None:
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
