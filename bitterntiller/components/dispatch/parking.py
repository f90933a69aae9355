"""Requests set aside from the queue until a suitable upstream has capacity."""

from collections.abc import Callable, Iterable

from bitterntiller.components.dispatch.const import PARK_SECONDS
from bitterntiller.components.dispatch.jobs import Job, JobState
from bitterntiller.components.dispatch.queue import PoolQueue
from bitterntiller.components.dispatch.timers import JobTimers

NO_UPSTREAM = ""


class Parking:
    """Parks requests that no free upstream can finish in time, to let others pass.

    A parked request waits for one upstream, or for none in particular. It is queued
    again when that upstream has capacity, and after PARK_SECONDS at the latest.
    """

    def __init__(self, queue: PoolQueue) -> None:
        self._queue = queue
        self._jobs_by_upstream: dict[str, dict[str, Job]] = {}
        self._timers = JobTimers()

    def park(self, job: Job, upstream: str | None, now: float) -> None:
        """Move a request out of the queue until its upstream has capacity."""
        self.park_for(job, (upstream or NO_UPSTREAM,), now + PARK_SECONDS)

    def park_for(self, job: Job, upstreams: Iterable[str], until: float) -> None:
        """Move a request out of the queue until one of its upstreams has capacity."""
        self._queue.remove(job)
        job.state = JobState.PARKED
        job.park_count += 1
        for upstream in upstreams:
            parked = self._jobs_by_upstream.setdefault(upstream, {})
            parked[job.request.request_id] = job
        self._timers.add(until, job)

    def unpark_for(self, upstream: str) -> None:
        """Queue the requests parked for an upstream that has capacity again."""
        for job in self._jobs_by_upstream.pop(upstream, {}).values():
            self._unpark(job)

    def unpark_due(self, now: float) -> None:
        """Queue the requests that have been parked for PARK_SECONDS."""
        for job in self._timers.due(now):
            self._unpark(job)

    def unpark_all(self) -> None:
        """Queue all parked requests, so that shedding considers them.

        Otherwise a parked request of the lowest tier would be skipped, and one of a
        higher tier shed in its place.
        """
        for parked_by_id in self._jobs_by_upstream.values():
            for job in parked_by_id.values():
                self._unpark(job)
        self._jobs_by_upstream.clear()

    def next_due(self) -> float:
        """Return when the next parked request is due to be queued."""
        return self._timers.next_due()

    def prune(self, live: int, is_live: Callable[[Job], bool]) -> None:
        """Drop the timers of requests that have ended."""
        self._timers.prune(live, is_live)

    def _unpark(self, job: Job) -> None:
        # A request that was withdrawn meanwhile must not be queued again.
        if job.state is JobState.PARKED:
            job.state = JobState.QUEUED
            self._queue.push(job)
