"""What a replica holds in memory and on its disk, in bytes."""

from collections.abc import Iterable

from .models import Entry, Persist, Snapshot
from .state import State


def snapshot_bytes(state: State) -> int:
    """Return the size of the newest snapshot."""
    return _data_size(state.snapshot)


def pinned_by_index(state: State) -> dict[int, Snapshot]:
    """Return the older snapshots that followers still load, by their index."""
    return {
        progress.snapshot.index: progress.snapshot
        for progress in state.progress_by_replica.values()
        if progress.snapshot is not None and progress.snapshot is not state.snapshot
    }


def pinned_bytes(state: State) -> int:
    """Return the size of older snapshots that followers still load."""
    return sum(len(snapshot.data) for snapshot in pinned_by_index(state).values())


def incoming_bytes(state: State) -> int:
    """Return the size of the pieces of a leader's snapshot received so far."""
    return len(state.incoming_snapshot[2]) if state.incoming_snapshot else 0


def write_bytes(persist: Persist | None) -> int:
    """Return the size of the records of a write under way."""
    if persist is None:
        return 0
    return entries_bytes(persist.entries) + _data_size(persist.snapshot)


def entries_bytes(entries: Iterable[Entry]) -> int:
    """Return the size of the data of entries."""
    return sum(len(entry.data) for entry in entries)


def _data_size(snapshot: Snapshot | None) -> int:
    return len(snapshot.data) if snapshot else 0
