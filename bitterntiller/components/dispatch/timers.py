"""Points in time at which requests have to be looked at again."""

import heapq
import itertools
from collections.abc import Callable

from bitterntiller.components.dispatch.jobs import Job

NEVER = float("inf")
MIN_ENTRIES_TO_PRUNE = 256


class JobTimers:
    """A heap of requests by time; each entry comes up once."""

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, Job]] = []
        self._numbers = itertools.count()

    def add(self, when: float, job: Job) -> None:
        """Have a request come up at a time."""
        heapq.heappush(self._entries, (when, next(self._numbers), job))

    def due(self, now: float) -> list[Job]:
        """Take out the requests whose time has come, in order."""
        jobs = []
        while self._entries and self._entries[0][0] <= now:
            jobs.append(heapq.heappop(self._entries)[2])
        return jobs

    def prune(self, live: int, is_live: Callable[[Job], bool]) -> None:
        """Drop the entries of ended requests, once most entries are of such.

        A request that ends leaves its entry behind, and a caller may have set a
        deadline of hours. It would show as memory that grows with the requests
        served; this way there are never many more entries than live requests.
        """
        if len(self._entries) <= 2 * live + MIN_ENTRIES_TO_PRUNE:
            return
        self._entries = [entry for entry in self._entries if is_live(entry[2])]
        heapq.heapify(self._entries)

    def next_due(self) -> float:
        """Return when the next one comes up."""
        return self._entries[0][0] if self._entries else NEVER
