"""Which requests go to a version that is judged, and to which of its upstreams."""

from bitterntiller.components.dispatch.isolation import Isolation
from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.models import CanaryAllowance
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.components.dispatch.upstreams import Upstream
from bitterntiller.components.rollouts.const import CANARIES


class CanaryPicker:
    """Takes requests out of the usual choice, as far as an allowance goes.

    They are taken as they come, whatever the usual choice would weigh: the upstreams of
    both versions are compared by requests of the same kind.
    """

    def __init__(self, pool: Pool, isolation: Isolation) -> None:
        self._pool = pool
        self._isolation = isolation
        self.allowance: CanaryAllowance | None = None

    def any_free(self, now: float) -> bool:
        """Tell whether a request may go to the version that is judged."""
        if self.allowance is None or not self.allowance.is_open(now):
            return False
        return any(
            upstream.can_take(now) for upstream in self._pool.candidate_upstreams(now)
        )

    def pick(self, job: Job, now: float) -> Upstream | None:
        """Return an upstream of the judged version for a request that it is to get.

        Few upstreams get all of it, others only what has no room there. A request that
        is suspected of crashing upstreams would show as a fault of the version.
        """
        allowance = self.allowance
        if allowance is None or not allowance.is_open(now):
            return None
        if self._isolation.suspect_key(job.request, now):
            return None
        candidates = self._pool.candidate_upstreams(now)
        for some in (candidates[:CANARIES], candidates[CANARIES:]):
            free = [upstream for upstream in some if self._may_take(job, upstream, now)]
            if not free:
                continue
            if not allowance.take(job.request.route, now):
                return None
            return min(free, key=lambda upstream: upstream.ledger.in_flight)
        return None

    def _may_take(self, job: Job, upstream: Upstream, now: float) -> bool:
        names = job.request.upstream_names
        if names is not None and upstream.name not in names:
            return False
        if upstream.name in job.request.tried:
            return False
        return upstream.can_take(now) and upstream.has_memory_for(job.kv_tokens)
