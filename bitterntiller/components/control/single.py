"""A log of a single replica, for a deployment of one host with a disk."""

import os
import struct
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import curio
import xxhash

from bitterntiller.components.control.errors import DamagedLogError, NoBootstrapError
from bitterntiller.core.interfaces import ProposalResult, StateMachine
from bitterntiller.core.runtime import Runtime

LOG_NAME = "single.log"
START_OF_TERM = b""
"""The record written at each start; it counts the terms."""

_HEADER = struct.Struct(">IQ")
"""Length of the record, and its xxh3 checksum."""


class _Pending(NamedTuple):
    command: bytes
    done: curio.Event
    results: list[bytes]


class SingleLog:
    """A ReplicatedLog with one replica: an append-only file, synced by groups."""

    def __init__(self, path: Path, address: str, state: StateMachine) -> None:
        self._path = path
        self._address = address
        self._state = state
        self._index = 0
        self._term = 0
        self._pending: list[_Pending] = []
        self._wake = curio.Event()
        self._descriptor = -1

    async def async_open(self) -> None:
        """Replay the file and begin a new term.

        Raise DamagedLogError for a record that is damaged before the end.
        """
        await curio.run_in_thread(self._replay)
        await curio.run_in_thread(self._write, [START_OF_TERM])
        self._index += 1
        self._term += 1

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)

    async def async_run(self) -> None:
        """Write what is proposed, a group for each sync."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            group, self._pending = self._pending, []
            await curio.run_in_thread(self._write, [item.command for item in group])
            for item in group:
                self._index += 1
                item.results.append(self._state.apply(self._index, item.command))
                await item.done.set()

    async def async_propose(self, command: bytes, timeout: float) -> ProposalResult:
        """Append a command and wait until it is synced and applied."""
        item = _Pending(command, curio.Event(), [])
        self._pending.append(item)
        await self._wake.set()
        async with curio.ignore_after(timeout):
            await item.done.wait()
        if not item.results:
            return ProposalResult("unknown", b"", self._address)
        return ProposalResult("committed", item.results[0], self._address)

    async def async_confirm(self, timeout: float) -> int | None:
        """Return the commit index; the only replica is its own quorum."""
        return self._index

    def is_leader(self) -> bool:
        """Tell whether this replica leads, which is always so."""
        return True

    def leader(self) -> str:
        """Return the address of this host."""
        return self._address

    def status(self) -> Mapping[str, Any]:
        """Return term and indexes for the dump."""
        return {
            "kind": "single",
            "term": self._term,
            "leader": self._address,
            "members": [self._address],
            "commit_index": self._index,
            "survives_losses": 0,
        }

    def _replay(self) -> None:
        self._path.parent.mkdir(parents=True, exist_ok=True)
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(self._path, flags, 0o600)
        _sync_folder(self._path.parent)
        data = self._path.read_bytes()
        offset = 0
        while offset < len(data):
            end = self._replay_record(data, offset)
            if end is None:
                os.ftruncate(self._descriptor, offset)
                return
            offset = end

    def _replay_record(self, data: bytes, offset: int) -> int | None:
        """Apply one record and return its end; None for a torn tail.

        A crash in the middle of a write leaves a last record that is too short
        or fails its checksum; nobody was told that it was committed, so it may
        be cut. A damaged record with others after it was once acknowledged.
        """
        start = offset + _HEADER.size
        if start > len(data):
            return None
        length, checksum = _HEADER.unpack_from(data, offset)
        end = start + length
        if end > len(data):
            return None
        record = data[start:end]
        if xxhash.xxh3_64_intdigest(record) != checksum:
            if end == len(data):
                return None
            raise DamagedLogError(f"{self._path}: damaged record at offset {offset}")
        self._index += 1
        if record == START_OF_TERM:
            self._term += 1
            return end
        self._state.apply(self._index, record)
        return end

    def _write(self, records: list[bytes]) -> None:
        data = b"".join(
            _HEADER.pack(len(record), xxhash.xxh3_64_intdigest(record)) + record
            for record in records
        )
        while data:
            written = os.write(self._descriptor, data)
            data = data[written:]
        os.fsync(self._descriptor)


def _sync_folder(folder: Path) -> None:
    """Make the folder's entry for a new file last."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


async def async_open_single(runtime: Runtime, state: StateMachine) -> SingleLog:
    """Open the log of this host; raise NoBootstrapError when it isn't alone."""
    settings = runtime.settings
    if settings.control.bootstrap != (settings.host,) or settings.data_folder is None:
        raise NoBootstrapError(
            "a log of one replica needs a data folder and this host as bootstrap"
        )
    path = settings.data_folder / LOG_NAME
    log = SingleLog(path, str(settings.listen.reached_at), state)
    await log.async_open()
    runtime.stack.callback(log.close)
    await runtime.async_spawn(log.async_run())
    return log
