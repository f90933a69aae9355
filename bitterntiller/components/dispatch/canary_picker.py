"""Picks the requests that go to the candidate version of a rollout."""

from bitterntiller.components.dispatch.isolation import Isolation
from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.models import CanaryAllowance
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.components.dispatch.upstreams import Upstream
from bitterntiller.components.rollouts.const import CANARY_UPSTREAMS


class CanaryPicker:
    """Sends requests to upstreams of the candidate version within an allowance.

    Requests are taken in their order, without the cost estimates of UpstreamPicker, so
    that both versions are compared on the same mix of requests.
    """

    def __init__(self, pool: Pool, isolation: Isolation) -> None:
        self._pool = pool
        self._isolation = isolation
        self.allowance: CanaryAllowance | None = None

    def any_free(self, now: float) -> bool:
        """Return whether the candidate version may and can take a request."""
        if self.allowance is None or not self.allowance.is_open(now):
            return False
        return any(
            upstream.can_take(now) for upstream in self._pool.candidate_upstreams(now)
        )

    def pick(self, job: Job, now: float) -> Upstream | None:
        """Return an upstream of the candidate version for a request, or None.

        The first CANARY_UPSTREAMS upstreams get all such requests, and the others only
        those for which the first ones have no room. Requests that are suspected of
        crashing upstreams are left out: a crash would count against the version.
        """
        allowance = self.allowance
        if allowance is None or not allowance.is_open(now):
            return None
        if self._isolation.suspect_key(job.request, now):
            return None
        candidates = self._pool.candidate_upstreams(now)
        for some in (candidates[:CANARY_UPSTREAMS], candidates[CANARY_UPSTREAMS:]):
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
        if upstream.name in self._pool.pauses.names(job.request.entry_host, now):
            return False
        return upstream.can_take(now) and upstream.has_memory_for(job.kv_tokens)
