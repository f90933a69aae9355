"""The loop that grants waiting requests while upstreams are free."""

from typing import Any

from bitterntiller.components.dispatch.const import MAX_SKIPS
from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.lifecycle import JobLifecycle
from bitterntiller.components.dispatch.lower_shares import LowerShares
from bitterntiller.components.dispatch.models import Basis, Decision, Granted
from bitterntiller.components.dispatch.picker import (
    PickResult,
    PickStatus,
    UpstreamPicker,
)
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.components.dispatch.queue import PoolQueue
from bitterntiller.components.dispatch.refusal_bounds import (
    ExceededBound,
    RefusalBound,
)
from bitterntiller.components.dispatch.refusals import Refusals
from bitterntiller.components.dispatch.upstreams import Upstream
from bitterntiller.components.dispatch.wait_estimator import WaitEstimator
from bitterntiller.core.outcomes import Reason


class GrantLoop:
    """Takes requests from the head of the queue and grants, parks or refuses them.

    blocked are the groups whose head could not be placed on any upstream. They are
    skipped until an upstream gets capacity or until the next housekeeping, so that
    arrivals at a full pool cost nothing.
    """

    def __init__(
        self,
        pool: Pool,
        queue: PoolQueue,
        jobs: JobLifecycle,
        picker: UpstreamPicker,
        wait_estimator: WaitEstimator,
        refusals: Refusals,
        blocked: set[tuple],
        lower_shares: LowerShares,
    ) -> None:
        self._pool = pool
        self._queue = queue
        self._jobs = jobs
        self._picker = picker
        self._wait_estimator = wait_estimator
        self._refusals = refusals
        self._blocked = blocked
        self._lower_shares = lower_shares

    def decide(self, now: float, decisions: list[Decision]) -> None:
        """Grant the head of the queue as long as an upstream is free."""
        self._unblock_freed()
        skips = 0
        while self._jobs.waiting and self._any_free(now) and skips < MAX_SKIPS:
            job = self._lower_shares.next_job(self._blocked, now)
            job = job or self._queue.head(self._blocked)
            if job is None:
                return
            pick = self._picker.pick(job, self._pool.view(job), now)
            if pick.status is PickStatus.PICKED:
                decisions.append(self._grant(job, pick, now))
            elif pick.status is PickStatus.LATE:
                exceeded = ExceededBound(RefusalBound.ESTIMATE)
                decisions.append(
                    self._refusals.drop(job, Reason.TOO_LATE, now, exceeded)
                )
            elif pick.status is PickStatus.BLOCKED:
                self._blocked.add((job.queue_rank, job.group_key))
                self._pool.reserve(job, pick.upstream, now)
            elif pick.wait is not None:
                self._jobs.parking.park_for(job, pick.wait.names, pick.wait.until)
                skips += 1
            else:
                name = pick.upstream.name if pick.upstream else None
                self._jobs.parking.park(job, name, now)
                skips += 1

    def _any_free(self, now: float) -> bool:
        return self._pool.any_free or self._picker.canaries.any_free(now)

    def _unblock_freed(self) -> None:
        if not self._pool.freed:
            return
        for upstream in self._pool.freed:
            self._jobs.parking.unpark_for(upstream.name)
        self._pool.freed.clear()
        self._blocked.clear()

    def _grant(self, job: Job, pick: PickResult, now: float) -> Granted:
        request, upstream = job.request, pick.upstream
        assert upstream is not None
        self._jobs.grant(job, pick, now)
        self._wait_estimator.add_grant(job, now)
        self._lower_shares.served.record_grant(job.rank, now)
        return Granted(
            request.request_id,
            request.entry_host,
            upstream.name,
            upstream.state.address,
            upstream.state.incarnation,
            Basis(
                expected=pick.total,
                cached_tokens=pick.cached,
                in_flight=upstream.ledger.in_flight,
                waiting=self._jobs.waiting,
                waited=now - request.arrived,
                expected_wait=job.expected_wait,
                late=job.demoted,
                parked=job.park_count,
                announced=now - upstream.last_announced_at,
                tokens=job.kv_tokens,
                rate_limit=upstream.rate_limiter.limit,
                limit_age=_limit_age(upstream, now),
                stated_percent=upstream.stated.percent,
                stated_age=upstream.stated.age(now),
                **_pace_basis(pick),
            ),
            self._pool.paths.relays(request.entry_host, upstream.name, now),
        )


def _pace_basis(pick: PickResult) -> dict[str, Any]:
    expected = pick.outlook
    if expected is None:
        return {}
    return {
        "objective_holds": expected.objective_holds,
        "gaps_hold": expected.gaps_hold,
        "harmed": len(expected.harmed),
    }


def _limit_age(upstream: Upstream, now: float) -> float | None:
    return (
        None if upstream.rate_limiter.limit is None else upstream.rate_limiter.age(now)
    )
