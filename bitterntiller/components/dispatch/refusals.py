"""Refusals of requests, with the reason and the time after which to retry."""

from typing import Any

from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.lifecycle import JobLifecycle
from bitterntiller.components.dispatch.models import RefusalBasis, Refused
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.components.dispatch.refusal_bounds import ExceededBound
from bitterntiller.components.dispatch.return_times import RetryBasis
from bitterntiller.components.dispatch.wait_deadlines import WaitDeadlines
from bitterntiller.components.dispatch.wait_estimator import WaitEstimator
from bitterntiller.components.dispatch.workspace_limiter import WorkspaceLimiter
from bitterntiller.core.interfaces import Conviction
from bitterntiller.core.outcomes import Reason


class Refusals:
    """Builds refusals and decides which new requests are refused on arrival."""

    def __init__(
        self,
        pool: Pool,
        jobs: JobLifecycle,
        wait_estimator: WaitEstimator,
        limiter: WorkspaceLimiter,
        wait_deadlines: WaitDeadlines,
    ) -> None:
        self._pool = pool
        self._jobs = jobs
        self._wait_estimator = wait_estimator
        self._limiter = limiter
        self._wait_deadlines = wait_deadlines

    def check_arrival(self, job: Job, now: float) -> Refused | None:
        """Refuse a new request over a limit of its workspace, or already too late."""
        workspace = job.workspace
        wait = self._limiter.acquire_rate(workspace, now)
        if wait > 0:
            return self._refusal(job, Reason.RATE_LIMIT, wait, now)
        if self._limiter.at_concurrency_limit(workspace):
            limit = self._limiter.concurrency(workspace)
            waiting = self._limiter.waiting(workspace)
            if waiting >= max(1, limit or 0):
                retry = self._wait_estimator.retry_after(job.rank, now)
                return self._refusal(job, Reason.CONCURRENCY_LIMIT, retry, now)
        if now + job.min_service_seconds >= job.request.deadline:
            exceeded = self._wait_deadlines.exceeded(job, now)
            if exceeded is not None:
                return self.refuse(job, Reason.TOO_LATE, now, exceeded)
        return None

    def drop(
        self, job: Job, reason: Reason, now: float, exceeded: ExceededBound
    ) -> Refused:
        """Refuse a tracked request and stop tracking it."""
        self._jobs.forget(job, now)
        return self.refuse(job, reason, now, exceeded)

    def quarantined(self, job: Job, conviction: Conviction, now: float) -> Refused:
        """Refuse a quarantined request: too many upstreams crashed while running it."""
        return self._refusal(job, Reason.CRASHES_UPSTREAMS, conviction.seconds, now)

    def refuse(
        self,
        job: Job,
        reason: Reason,
        now: float,
        exceeded: ExceededBound | None = None,
    ) -> Refused:
        """Refuse a request, to be retried when its tier has drained.

        Without any upstream nothing drains and there is no rate to estimate that time
        from. The reason is then NO_UPSTREAM, with a short time to retry.
        """
        if not self._pool.view(job).members:
            retry = self._wait_estimator.retry_without_upstream()
            return self._refusal(job, Reason.NO_UPSTREAM, retry, now)
        retry = self._wait_estimator.book_retry(job, now)
        return self._refusal(job, reason, retry.seconds, now, retry.basis, exceeded)

    def _refusal(
        self,
        job: Job,
        reason: Reason,
        retry_after: float,
        now: float,
        retry: RetryBasis | None = None,
        exceeded: ExceededBound | None = None,
    ) -> Refused:
        request = job.request
        usable = len(self._pool.view(job).members)
        return Refused(
            request.request_id,
            request.entry_host,
            reason,
            retry_after,
            RefusalBasis(
                tokens=job.kv_tokens,
                upstreams=usable,
                waiting=self._jobs.waiting,
                waited=now - request.arrived,
                expected_wait=job.expected_wait,
                late=job.demoted,
                parked=job.park_count,
                retry=retry,
                rank=job.rank,
                left=request.deadline - now,
                **_exceeded_basis(exceeded),
            ),
        )


def _exceeded_basis(exceeded: ExceededBound | None) -> dict[str, Any]:
    if exceeded is None:
        return {}
    return {
        "bound": exceeded.bound,
        "wait_now": exceeded.expected_wait,
        "allowed_wait": exceeded.allowed_wait,
    }
