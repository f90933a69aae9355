"""Records of one synced write: their encoding, and replaying them."""

from typing import Any

from bitterntiller.protocol import decode, encode, messages

from .members import decode_members, encode_members
from .models import Entry, HardState, Mark, Persist, PersistentState, Snapshot


def encode_batch(persist: Persist) -> bytes:
    """Encode all records except the snapshot."""
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
    """Decode records; raise MalformedMessageError if data is malformed."""
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
    """Encode a snapshot."""
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
    """Decode a snapshot; raise MalformedMessageError if data is malformed."""
    file = decode(messages.SnapshotFile, data)
    members = decode_members(file.members_index, file.members)
    return Snapshot(file.index, file.term, members, file.data)


def entries_to_wire(entries: tuple[Entry, ...]) -> list[Any]:
    """Convert entries to Thrift structures."""
    return [messages.Entry(*entry) for entry in entries]


def entries_from_wire(entries: list[Any]) -> tuple[Entry, ...]:
    """Convert Thrift structures to entries."""
    return tuple(Entry(e.index, e.term, e.kind, e.data) for e in entries)


def _mark_to_wire(replica: str, mark: Mark) -> Any:
    return messages.Mark(replica, *mark)


class Replay:
    """State of a data folder after the writes replayed so far."""

    def __init__(self, start: PersistentState) -> None:
        self._replica = start.replica
        self._hard = start.hard
        self._marks = start.marks_by_replica
        self._snapshot = start.snapshot
        self._entries = list(start.entries)

    def apply(self, persist: Persist) -> None:
        """Apply the records of one write in order."""
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
        """Return the resulting state, with only the entries after the snapshot."""
        snapshot, entries = self._snapshot, self._entries
        if snapshot is not None:
            entries = _after_snapshot(snapshot, entries)
        return PersistentState(
            self._replica, self._hard, dict(self._marks), snapshot, tuple(entries)
        )


def _after_snapshot(snapshot: Snapshot, entries: list[Entry]) -> list[Entry]:
    """Return the entries that follow the snapshot.

    After a crash between writing a snapshot and writing the new log, the old log may
    hold entries that conflict with the snapshot; these are uncommitted.
    """
    if entries and entries[0].index == snapshot.index + 1:
        return entries
    term_by_index = {entry.index: entry.term for entry in entries}
    if term_by_index.get(snapshot.index) != snapshot.term:
        return []
    return [entry for entry in entries if entry.index > snapshot.index]
