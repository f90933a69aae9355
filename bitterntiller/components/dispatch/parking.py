"""Requests at the head of the queue that no free upstream suits now."""

from collections.abc import Callable

from bitterntiller.components.dispatch.const import PARK_SECONDS
from bitterntiller.components.dispatch.jobs import Job, JobState
from bitterntiller.components.dispatch.queue import PoolQueue
from bitterntiller.components.dispatch.timers import JobTimers

NO_UPSTREAM = ""


class Parking:
    """Keeps such requests out of the queue, so that others get past them.

    Each waits for one upstream, or for none in particular, and goes back into
    the queue when that one has room, and after PARK_SECONDS at the latest.
    """

    def __init__(self, queue: PoolQueue) -> None:
        self._queue = queue
        self._jobs_by_upstream: dict[str, dict[str, Job]] = {}
        self._timers = JobTimers()

    def park(self, job: Job, upstream: str | None, now: float) -> None:
        """Take a request out of the queue until its upstream has room."""
        self._queue.remove(job)
        job.state = JobState.PARKED
        job.park_count += 1
        parked = self._jobs_by_upstream.setdefault(upstream or NO_UPSTREAM, {})
        parked[job.request.request_id] = job
        self._timers.add(now + PARK_SECONDS, job)

    def unpark_for(self, upstream: str) -> None:
        """Put back what waits for an upstream that has room again."""
        for job in self._jobs_by_upstream.pop(upstream, {}).values():
            self._unpark(job)

    def unpark_due(self, now: float) -> None:
        """Put back what has waited its time."""
        for job in self._timers.due(now):
            self._unpark(job)

    def unpark_all(self) -> None:
        """Put everything back, so that shedding sees all that waits.

        A parked request of the lowest tier would else be passed over, and one
        of a higher tier shed in its place.
        """
        for parked_by_id in self._jobs_by_upstream.values():
            for job in parked_by_id.values():
                self._unpark(job)
        self._jobs_by_upstream.clear()

    def next_due(self) -> float:
        """Return when the next request goes back by time."""
        return self._timers.next_due()

    def prune(self, live: int, is_live: Callable[[Job], bool]) -> None:
        """Forget the times of requests that have ended."""
        self._timers.prune(live, is_live)

    def _unpark(self, job: Job) -> None:
        # One that was withdrawn meanwhile must not come back into the queue.
        if job.state is JobState.PARKED:
            job.state = JobState.QUEUED
            self._queue.push(job)
