"""Load shedding: which waiting requests are refused in an overload."""

from bitterntiller.components.dispatch.const import KIND_PLAIN, MAX_TRIMMED
from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.models import PolicyParameters
from bitterntiller.components.dispatch.objective_admission import (
    Congestion,
    admitted_wait,
    overdue_wait,
)
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.components.dispatch.queue import (
    PoolQueue,
    TierQueue,
    groups_overlap,
)
from bitterntiller.components.dispatch.refusal_bounds import (
    ExceededBound,
    RefusalBound,
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

    def overdue(self, job: Job, now: float) -> ExceededBound | None:
        """Return the bound for which a request that misses its objective is refused.

        It never is while requests of a lower tier wait for the same upstreams.
        """
        if not self._pool.uneven or self._parameters.kind == KIND_PLAIN:
            return None
        self._congestion.record_miss(now)
        if not self._congestion.is_congested(now) or self._lower_tier_waits(job):
            return None
        wait = self._wait_estimator.expected_wait(job, now)
        allowed = overdue_wait(job)
        if allowed is None or wait <= allowed:
            return None
        return ExceededBound(RefusalBound.OVERDUE, wait, allowed)

    def overloaded(
        self, job: Job, min_service_seconds: float, now: float
    ) -> ExceededBound | None:
        """Return the bound that the expected wait of a new request exceeds, or None."""
        wait = job.expected_wait = self._wait_estimator.expected_wait(job, now)
        if self._congestion.is_congested(now):
            objective = admitted_wait(job, now)
            if objective is not None and wait > objective:
                bound = RefusalBound.ARRIVAL_OBJECTIVE
                return ExceededBound(bound, wait, objective)
        start_by = job.request.start_by
        if start_by is not None:
            allowed = start_by - now
        else:
            slack = job.request.deadline - now - min_service_seconds
            allowed = self._parameters.wait_share * slack
        if wait <= allowed:
            return None
        return ExceededBound(RefusalBound.ARRIVAL, wait, allowed)

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

    def trim(self, now: float) -> list[tuple[Job, ExceededBound]]:
        """Remove and return requests that aren't expected to be served in time.

        These are requests of the lowest tier that arrived before the pool slowed down
        or before more important work came, and demoted requests of any tier. Their
        callers get the refusal at once instead of at the deadline.
        """
        lowest = self._queue.lowest_waiting()
        victims: list[tuple[Job, ExceededBound]] = []
        for tier in reversed(self._queue.tiers_by_rank.values()):
            if not tier.holds_demoted and tier is not lowest:
                continue
            for flow in list(tier.flows()):
                while len(victims) < MAX_TRIMMED and flow.jobs:
                    job = flow.last()
                    exceeded = self._expected_too_late(job, now)
                    if exceeded is None:
                        break
                    self._queue.remove(job)
                    victims.append((job, exceeded))
        return victims

    def _lower_tier_waits(self, job: Job) -> bool:
        return any(
            groups_overlap(key, job.group_key)
            for rank, tier in self._queue.tiers_by_rank.items()
            if rank >= job.rank + 1
            for key in tier.groups_by_key
        )

    def _expected_too_late(self, job: Job, now: float) -> ExceededBound | None:
        start_by = job.request.start_by
        allowed = (start_by or job.request.deadline - job.work) - now
        wait = self._wait_estimator.expected_wait(job, now)
        if wait <= allowed:
            return None
        return ExceededBound(RefusalBound.QUEUED, wait, allowed)

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
