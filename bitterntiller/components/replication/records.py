"""The records of one synced write: their bytes, and replaying them."""

from typing import Any

from bitterntiller.protocol import decode, encode, messages

from .members import decode_members, encode_members
from .models import Entry, HardState, Mark, Persist, PersistentState, Snapshot


def encode_batch(persist: Persist) -> bytes:
    """Return the bytes of all records but the snapshot."""
    hard, marks = persist.hard, persist.marks_by_replica
    batch = messages.LogBatch(
        term=hard.term if hard else None,
        vote=hard.vote if hard else None,
        boot=hard.boot if hard else None,
        marks=None
        if marks is None
        else [_mark_to_wire(*item) for item in marks.items()],
        truncate_from=persist.truncate_from,
        entries=entries_to_wire(persist.entries),
    )
    return encode(batch)


def decode_batch(data: bytes) -> Persist:
    """Return the records; raise MalformedMessageError for other bytes."""
    batch = decode(messages.LogBatch, data)
    hard = None
    if batch.term is not None:
        hard = HardState(batch.term, batch.vote, batch.boot)
    marks = None
    if batch.marks is not None:
        marks = {m.replica: Mark(m.boot, m.term, m.index) for m in batch.marks}
    entries = entries_from_wire(batch.entries or ())
    return Persist(0, hard, marks, batch.truncate_from, entries, None)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the bytes of a snapshot."""
    members = snapshot.members
    return encode(
        messages.SnapshotFile(
            index=snapshot.index,
            term=snapshot.term,
            members_index=members.index,
            members=encode_members(members.all),
            data=snapshot.data,
        )
    )


def decode_snapshot(data: bytes) -> Snapshot:
    """Return the snapshot; raise MalformedMessageError for other bytes."""
    file = decode(messages.SnapshotFile, data)
    members = decode_members(file.members_index, file.members)
    return Snapshot(file.index, file.term, members, file.data)


def entries_to_wire(entries: tuple[Entry, ...]) -> list[Any]:
    """Return entries as Thrift structures."""
    return [messages.Entry(*entry) for entry in entries]


def entries_from_wire(entries: list[Any]) -> tuple[Entry, ...]:
    """Return Thrift structures as entries."""
    return tuple(Entry(e.index, e.term, e.kind, e.data) for e in entries)


def _mark_to_wire(replica: str, mark: Mark) -> Any:
    return messages.Mark(replica, *mark)


class Replay:
    """What a data folder holds after the writes applied so far."""

    def __init__(self, start: PersistentState) -> None:
        self._replica = start.replica
        self._hard = start.hard
        self._marks = start.marks_by_replica
        self._snapshot = start.snapshot
        self._entries = list(start.entries)

    def apply(self, persist: Persist) -> None:
        """Apply the records of one write in their order."""
        if persist.hard is not None:
            self._hard = persist.hard
        if persist.marks_by_replica is not None:
            self._marks = persist.marks_by_replica
        if persist.snapshot is not None:
            self._snapshot = persist.snapshot
            self._entries = []
        if persist.truncate_from is not None:
            self._truncate_from(persist.truncate_from)
        self._entries += persist.entries

    def _truncate_from(self, index: int) -> None:
        if self._entries:
            del self._entries[max(index - self._entries[0].index, 0) :]

    def restored(self) -> PersistentState:
        """Return the outcome, with the entries behind the snapshot only."""
        snapshot, entries = self._snapshot, self._entries
        if snapshot is not None:
            entries = _behind(snapshot, entries)
        return PersistentState(
            self._replica, self._hard, dict(self._marks), snapshot, tuple(entries)
        )


def _behind(snapshot: Snapshot, entries: list[Entry]) -> list[Entry]:
    """Return the entries that continue the snapshot.

    After a crash between the writing of a snapshot and of the new log, the old
    log may hold entries that contradict the snapshot; those are uncommitted.
    """
    if entries and entries[0].index == snapshot.index + 1:
        return entries
    term_by_index = {entry.index: entry.term for entry in entries}
    if term_by_index.get(snapshot.index) != snapshot.term:
        return []
    return [entry for entry in entries if entry.index > snapshot.index]
