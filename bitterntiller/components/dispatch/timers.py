"""Timers of requests."""

import heapq
import itertools
from collections.abc import Callable

from bitterntiller.components.dispatch.jobs import Job

NEVER = float("inf")
MIN_ENTRIES_TO_PRUNE = 256


class JobTimers:
    """Heap of requests by due time; each entry is returned once."""

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, Job]] = []
        self._numbers = itertools.count()

    def add(self, when: float, job: Job) -> None:
        """Add a timer for a request."""
        heapq.heappush(self._entries, (when, next(self._numbers), job))

    def due(self, now: float) -> list[Job]:
        """Remove and return the requests whose time has come, in order of time."""
        jobs = []
        while self._entries and self._entries[0][0] <= now:
            jobs.append(heapq.heappop(self._entries)[2])
        return jobs

    def prune(self, live: int, is_live: Callable[[Job], bool]) -> None:
        """Drop the entries of ended requests once they are the majority.

        A request that ends leaves its entry in the heap, and deadlines may be hours
        away: memory would grow with the number of requests served. Pruning limits the
        entries to about twice the number of live requests.
        """
        if len(self._entries) <= 2 * live + MIN_ENTRIES_TO_PRUNE:
            return
        self._entries = [entry for entry in self._entries if is_live(entry[2])]
        heapq.heapify(self._entries)

    def next_due(self) -> float:
        """Return the time of the next entry."""
        return self._entries[0][0] if self._entries else NEVER
