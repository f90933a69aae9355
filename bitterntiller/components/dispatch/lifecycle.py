"""State transitions of the requests that an owner tracks."""

import itertools
from collections.abc import Callable

from bitterntiller.components.dispatch.jobs import Job, JobState
from bitterntiller.components.dispatch.models import PolicyParameters, WaitingRequest
from bitterntiller.components.dispatch.parking import Parking
from bitterntiller.components.dispatch.picker import PickResult
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.components.dispatch.queue import PoolQueue
from bitterntiller.components.dispatch.timers import JobTimers
from bitterntiller.components.dispatch.wait_deadlines import WaitDeadlines
from bitterntiller.components.dispatch.workspace_limiter import WorkspaceLimiter

EXPIRED_GRANT_KEPT_SECONDS = 1.0
"""Minimum time to keep an expired grant, in case the report of its use is late."""

ROUNDING_SECONDS = 1e-9
"""Tolerance between a computed sum of times and the time at which its timer is due."""


class JobLifecycle:
    """Moves requests between states and updates what depends on the state.

    That is the queue, the number of waiting requests, the load of upstreams and
    workspaces, and the timers of parked requests and grants. It makes no decisions.
    on_capacity_freed is called when a blocked request may find an upstream.
    """

    def __init__(
        self,
        parameters: PolicyParameters,
        pool: Pool,
        queue: PoolQueue,
        limiter: WorkspaceLimiter,
        wait_deadlines: WaitDeadlines,
        on_capacity_freed: Callable[[], None],
    ) -> None:
        self._grant_seconds = parameters.grant_seconds + parameters.grant_grace
        self._pool = pool
        self._queue = queue
        self._limiter = limiter
        self._wait_deadlines = wait_deadlines
        self._on_capacity_freed = on_capacity_freed
        self._sequence = itertools.count()
        self.by_id: dict[str, Job] = {}
        self.waiting = 0
        self.parking = Parking(queue)
        self.grant_timers = JobTimers()

    def new(self, request: WaitingRequest, now: float) -> Job:
        """Return a new job for a request, not tracked yet."""
        return Job(request, next(self._sequence), now)

    def track(self, job: Job) -> None:
        """Start tracking a request."""
        self.by_id[job.request.request_id] = job

    def is_live(self, job: Job) -> bool:
        """Return whether this job is still the tracked one for its request."""
        return self.by_id.get(job.request.request_id) is job

    def enqueue(self, job: Job, now: float) -> None:
        """Add a request to the queue and schedule its checks."""
        job.state = JobState.QUEUED
        self.waiting += 1
        self._limiter.add_waiting(job.workspace, 1, now)
        self._queue.push(job)
        self._wait_deadlines.schedule_check(job, now)
        if self._wait_deadlines.schedule_objective(job, now):
            self.demote(job)

    def demote(self, job: Job) -> None:
        """Queue a request that is about to miss its objective behind its own tier.

        It is worth less than a request that can still be served in time, at the same
        cost. Without demotion, a burst of a few seconds makes every request miss its
        objective, one after the other.
        """
        if job.demoted or not self.is_live(job) or not job.waiting:
            return
        if job.state is JobState.PARKED:
            job.demoted = True
            return
        self._queue.remove(job)
        job.demoted = True
        self._queue.push(job)

    def grant(self, job: Job, pick: PickResult, now: float) -> None:
        """Move a request from the queue to the picked upstream."""
        request, upstream = job.request, pick.upstream
        assert upstream is not None
        upstream.last_granted_at = now
        upstream.rate_limiter.acquire(now)
        self._queue.remove(job)
        self._queue.charge(job)
        self.stop_waiting(job, now)
        self._limiter.start_request(job.workspace, now)
        job.state = JobState.GRANTED
        job.granted_at = now
        job.expected_cached = pick.cached
        job.prefill = request.prompt_tokens - pick.cached
        job.expected_total = pick.total
        self._pool.record_grant(job, upstream)
        self._pool.attach(job, upstream, now)
        job.in_flight_at_start = upstream.ledger.in_flight
        if request.prefix_hashes:
            upstream.prefixes.add(
                request.prefix_hashes,
                upstream.state.kv_tokens,
                now,
                request.prefix_tokens,
            )
        self._pool.refresh(upstream, now)
        self.grant_timers.add(now + self._grant_seconds, job)

    def mark_running(self, job: Job, now: float) -> None:
        """Record that a grant is used, even if it had expired."""
        if job.state is JobState.GRANTED:
            job.state = JobState.RUNNING
            self._pool.record_start(job, now)
        elif job.state is JobState.EXPIRED:
            # The grant was used in time, but the report of its use arrived late.
            job.state = JobState.RUNNING
            self._limiter.start_request(job.workspace, now)
            if job.target is not None:
                self._pool.adopt(job, job.target.name, now)

    def withdraw(self, job: Job, now: float) -> None:
        """Remove a request from the queue or from its upstream."""
        if job.state is JobState.QUEUED:
            self._queue.remove(job)
        if job.waiting:
            self.stop_waiting(job, now)
        elif job.state is not JobState.EXPIRED:
            self._limiter.finish_request(job.workspace)
            self._queue.uncap(job.workspace)
            self._pool.detach(job, now)
            self._on_capacity_freed()
        job.state = JobState.GONE

    def forget(self, job: Job, now: float) -> None:
        """Remove a waiting request and stop tracking it."""
        self.by_id.pop(job.request.request_id, None)
        self.withdraw(job, now)

    def regroup(self, job: Job, change: Callable[[], None]) -> None:
        """Change the group of a waiting request; its place in its tier stays."""
        if job.state is JobState.PARKED:
            change()
            return
        self._queue.remove(job)
        change()
        self._queue.push(job)
        self._on_capacity_freed()

    def stop_waiting(self, job: Job, now: float) -> None:
        """Stop counting a request as waiting, and release its reservation."""
        self.waiting -= 1
        self._limiter.add_waiting(job.workspace, -1, now)
        self._pool.unreserve(job)

    def expire_grant(self, job: Job, now: float) -> None:
        """Revoke a grant whose use wasn't reported in time.

        The entry host may have used it all the same, with a late report. The request is
        therefore kept as EXPIRED until its deadline, and started or progress count it
        again. A second grant follows only if the host registered the request again. If
        the host gets both grants it uses one, since no other host sends the request,
        and returns the other.
        """
        if not self.is_live(job):
            return
        if job.state is JobState.EXPIRED:
            del self.by_id[job.request.request_id]
            return
        expires_at = job.granted_at + self._grant_seconds
        if job.state is not JobState.GRANTED or expires_at > now + ROUNDING_SECONDS:
            return
        upstream = job.upstream
        self.withdraw(job, now)
        if job.reregistered:
            job.reregistered = False
            self.enqueue(job, now)
            return
        job.state = JobState.EXPIRED
        job.target = upstream
        self.grant_timers.add(
            max(job.request.deadline, now + EXPIRED_GRANT_KEPT_SECONDS), job
        )
