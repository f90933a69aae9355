"""In-memory log entries after the newest snapshot."""

from bisect import bisect_left
from collections.abc import Iterable

from .models import Entry, Snapshot


class Log:
    """Contiguous log entries; earlier ones are covered by the snapshot.

    base_index and base_term identify the entry just before the first one kept.
    """

    def __init__(self, snapshot: Snapshot | None, entries: Iterable[Entry]) -> None:
        self._entries: list[Entry] = []
        self._ends: list[int] = []
        self._start = 0
        self.base_index = snapshot.index if snapshot else 0
        self.base_term = snapshot.term if snapshot else 0
        for entry in entries:
            self.append(entry)

    @property
    def bytes(self) -> int:
        """Size of the data of all entries kept."""
        return self.bytes_after(self.base_index)

    def bytes_after(self, index: int) -> int:
        """Return the size of the data of the entries after an index."""
        if not self._ends or index >= self.last_index:
            return 0
        place = index - self.base_index
        return self._ends[-1] - (self._ends[place - 1] if place > 0 else self._start)

    def index_before(self, index: int, size: int) -> int:
        """Return the lowest index after which the data up to index is within size."""
        place = min(index, self.last_index) - self.base_index
        if place <= 0:
            return index
        least = self._ends[place - 1] - size
        if least <= self._start:
            return self.base_index
        return self.base_index + 1 + bisect_left(self._ends, least, 0, place)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not known."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def append(self, entry: Entry) -> None:
        """Append the entry that follows the last one."""
        self._entries.append(entry)
        end = self._ends[-1] if self._ends else self._start
        self._ends.append(end + len(entry.data))

    def truncate_from(self, index: int) -> None:
        """Remove the entry at that index and all after it."""
        first = index - self.base_index - 1
        del self._entries[first:]
        del self._ends[first:]

    def slice(self, start: int, stop: int) -> tuple[Entry, ...]:
        """Return the entries from start to stop, both included."""
        base = self.base_index + 1
        return tuple(self._entries[max(start - base, 0) : max(stop - base + 1, 0)])

    def batch(self, start: int, count: int, size: int) -> tuple[Entry, ...]:
        """Return entries from start: at most count and size bytes, at least one."""
        taken: list[Entry] = []
        for entry in self.slice(start, start + count - 1):
            size -= len(entry.data)
            if taken and size < 0:
                break
            taken.append(entry)
        return tuple(taken)

    def first_of_term_at(self, index: int) -> int:
        """Return the first index kept that has the same term as the given entry."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def newest_of_kind(self, kind: int) -> Entry | None:
        """Return the last entry of a kind, or None if none is kept."""
        return next((e for e in reversed(self._entries) if e.kind == kind), None)

    def compact(self, index: int) -> None:
        """Remove the entries up to and including index."""
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        count = index - self.base_index
        self._start = self._ends[count - 1]
        del self._entries[:count]
        del self._ends[:count]
        self.base_index = index
        self.base_term = term

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the log by a snapshot unless it holds the snapshot's last entry."""
        if self.term_at(snapshot.index) == snapshot.term:
            return
        self._entries = []
        self._ends = []
        self._start = 0
        self.base_index = snapshot.index
        self.base_term = snapshot.term
