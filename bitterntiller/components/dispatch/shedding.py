"""Load shedding: which waiting requests are refused in an overload."""

from bitterntiller.components.dispatch.const import KIND_PLAIN, MAX_TRIMMED
from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.models import PolicyParameters
from bitterntiller.components.dispatch.objective_admission import (
    Congestion,
    admits,
    keeps_overdue,
)
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.components.dispatch.queue import (
    Flow,
    PoolQueue,
    TierQueue,
    groups_overlap,
)
from bitterntiller.components.dispatch.wait_estimator import WaitEstimator


class Shedder:
    """Selects the requests to shed, from the lowest tier first.

    No other code sheds a waiting request in favor of another one.
    """

    def __init__(
        self,
        parameters: PolicyParameters,
        queue: PoolQueue,
        wait_estimator: WaitEstimator,
        pool: Pool,
    ) -> None:
        self._parameters = parameters
        self._pool = pool
        self._congestion = Congestion()
        self._queue = queue
        self._wait_estimator = wait_estimator

    def overdue(self, job: Job, now: float) -> bool:
        """Return whether a waiting request that misses its objective is refused now.

        It never is while requests of a lower tier wait for the same upstreams.
        """
        if not self._pool.uneven or self._parameters.kind == KIND_PLAIN:
            return False
        self._congestion.record_miss(now)
        if not self._congestion.is_congested(now) or self._lower_tier_waits(job):
            return False
        return not keeps_overdue(job, self._wait_estimator.expected_wait(job, now))

    def overloaded(self, job: Job, min_service_seconds: float, now: float) -> bool:
        """Return whether a new request is expected to wait too long."""
        job.expected_wait = self._wait_estimator.expected_wait(job, now)
        congested = self._congestion.is_congested(now)
        if congested and not admits(job, job.expected_wait, now):
            return True
        start_by = job.request.start_by
        if start_by is not None:
            return job.expected_wait > start_by - now
        slack = job.request.deadline - now - min_service_seconds
        return job.expected_wait > self._parameters.wait_share * slack

    def victim(self, job: Job) -> Job:
        """Return the request to shed so that a new one, not yet queued, may wait.

        It is the last request of the lowest tier that waits for the same upstreams, or
        the new request itself if no lower tier waits for them.
        """
        for rank in reversed(self._queue.tiers_by_rank):
            if rank <= job.rank:
                break
            found = self._last(self._queue.tiers_by_rank[rank], job)
            if found is not None:
                return found
        return job

    def trim(self, now: float) -> list[Job]:
        """Remove and return requests that aren't expected to be served in time.

        These are requests of the lowest tier that arrived before the pool slowed down
        or before more important work came, and demoted requests of any tier. Their
        callers get the refusal at once instead of at the deadline.
        """
        lowest = self._queue.lowest_waiting()
        victims: list[Job] = []
        for tier in reversed(self._queue.tiers_by_rank.values()):
            if not tier.holds_demoted and tier is not lowest:
                continue
            for flow in list(tier.flows()):
                while len(victims) < MAX_TRIMMED and self._expected_too_late(flow, now):
                    job = flow.last()
                    self._queue.remove(job)
                    victims.append(job)
        return victims

    def _lower_tier_waits(self, job: Job) -> bool:
        return any(
            groups_overlap(key, job.group_key)
            for rank, tier in self._queue.tiers_by_rank.items()
            if rank >= job.rank + 1
            for key in tier.groups_by_key
        )

    def _expected_too_late(self, flow: Flow, now: float) -> bool:
        if not flow.jobs:
            return False
        job = flow.last()
        start_by = job.request.start_by
        slack = (start_by or job.request.deadline - job.work) - now
        return self._wait_estimator.expected_wait(job, now) > slack

    @staticmethod
    def _last(tier: TierQueue, job: Job) -> Job | None:
        """Return the last request of the largest flow that competes with a request."""
        flows = [
            flow
            for group in tier.groups_by_key.values()
            if groups_overlap(group.key, job.group_key)
            for flow in group.flows_by_workspace.values()
        ]
        if not flows:
            return None
        return max(flows, key=lambda flow: flow.work).last()
