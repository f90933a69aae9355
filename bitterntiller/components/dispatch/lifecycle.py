"""The requests that an owner knows, on their way from the queue to their end."""

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
"""Least time for which a lapsed grant is kept, should the news of its use be late."""

ROUNDING_SECONDS = 1e-9
"""By how much a sum of times may differ from the time at which its timer comes up."""


class JobLifecycle:
    """Moves requests from state to state, and keeps what depends on the state.

    That is the queue, the count of what waits, the load of upstreams and workspaces,
    and the times at which parked and lapsed requests come up. It decides nothing.
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
        """Return a request in its first state; it isn't kept yet."""
        return Job(request, next(self._sequence), now)

    def track(self, job: Job) -> None:
        """Know a request from now on."""
        self.by_id[job.request.request_id] = job

    def is_live(self, job: Job) -> bool:
        """Tell whether this very request is still known."""
        return self.by_id.get(job.request.request_id) is job

    def enqueue(self, job: Job, now: float) -> None:
        """Put a request into the queue; plan when it has to be looked at."""
        job.state = JobState.QUEUED
        self.waiting += 1
        self._limiter.add_waiting(job.workspace, 1, now)
        self._queue.push(job)
        self._wait_deadlines.schedule_check(job, now)
        if self._wait_deadlines.schedule_objective(job, now):
            self.demote(job)

    def demote(self, job: Job) -> None:
        """Put a request that is about to miss its objective behind its own tier.

        It is worth less than one that can still be served in time, and takes as much
        of an upstream. In a burst that lasts for seconds all would otherwise be served
        late, one after the other.
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
        """Take a request out of the queue and count it on its upstream."""
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
        """Note that a grant is used, also one that counted as lapsed."""
        if job.state is JobState.GRANTED:
            job.state = JobState.RUNNING
        elif job.state is JobState.EXPIRED:
            # The grant was used in time, but the message about it came late.
            job.state = JobState.RUNNING
            self._limiter.start_request(job.workspace, now)
            if job.target is not None:
                self._pool.adopt(job, job.target.name, now)

    def withdraw(self, job: Job, now: float) -> None:
        """Take a request out of the queue or off its upstream."""
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
        """Take a waiting request out and know it no more."""
        self.by_id.pop(job.request.request_id, None)
        self.withdraw(job, now)

    def regroup(self, job: Job, change: Callable[[], None]) -> None:
        """Change the group of a waiting request; it keeps its place in its tier."""
        if job.state is JobState.PARKED:
            change()
            return
        self._queue.remove(job)
        change()
        self._queue.push(job)
        self._on_capacity_freed()

    def stop_waiting(self, job: Job, now: float) -> None:
        """Count a request as waiting no more."""
        self.waiting -= 1
        self._limiter.add_waiting(job.workspace, -1, now)
        self._pool.unreserve(job)

    def expire_grant(self, job: Job, now: float) -> None:
        """Take back a grant that was not heard of in time.

        The entry host may have sent under it all the same, and its message may
        be late. So the request is kept as lapsed until its deadline: started
        or progress count it again. A second grant comes only if the host has
        registered it anew; should both arrive, the host uses one of them, since
        it alone sends, and returns the other.
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
