"""Where a request would be placed now, evaluated without changing any state.

The real picker decides, over a pool that ignores updates and with random numbers of its
own, so that an answer can't differ from a decision.
"""

import random
import sys
from contextlib import ExitStack
from enum import StrEnum
from typing import Any, NamedTuple

from bitterntiller.components.dispatch.const import SCAN_ALL_UP_TO
from bitterntiller.components.dispatch.isolation import Isolation
from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.models import PolicyParameters, WaitingRequest
from bitterntiller.components.dispatch.ordering import Ordering
from bitterntiller.components.dispatch.picker import (
    PickResult,
    PickStatus,
    UpstreamPicker,
)
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.components.dispatch.queue import PoolQueue, TierQueue
from bitterntiller.components.dispatch.size_estimator import SizeEstimator
from bitterntiller.components.dispatch.speed import LONG
from bitterntiller.components.dispatch.upstreams import Upstream, UpstreamView
from bitterntiller.components.dispatch.wait_estimator import WaitEstimator
from bitterntiller.components.dispatch.workspace_limiter import WorkspaceLimiter


class Obstacle(StrEnum):
    """Why a request would not be placed on an upstream; the first that applies."""

    SELECTOR = "selector"
    TRIED = "tried"
    LEAVING = "leaving"
    SILENT = "silent"
    VERSION = "version"
    PAUSED = "paused"
    UNREACHED = "unreached"
    UNHEALTHY = "unhealthy"
    FULL = "full"
    RATE_LIMIT = "rate-limit"
    PREFILL_BACKLOG = "prefill-backlog"
    UNAVAILABLE = "unavailable"
    RESERVED = "reserved"
    MEMORY = "memory"
    HELD_BACK = "held-back"
    TOO_SLOW_NOW = "too-slow-now"
    TOO_LATE = "too-late"
    LONG_PREFILLS = "long-prefills"
    SLOWER = "slower"


class Outcome(StrEnum):
    """What would happen to the request now."""

    GRANTED = "granted"
    WAITS = "waits"
    NO_UPSTREAM = "no-upstream"
    TOO_LATE = "too-late"
    RATE_LIMIT = "rate-limit"
    CONCURRENCY_LIMIT = "concurrency-limit"


_OBSTACLE_BY_STATUS = {
    PickStatus.BLOCKED: Obstacle.HELD_BACK,
    PickStatus.PARK: Obstacle.TOO_SLOW_NOW,
    PickStatus.LATE: Obstacle.TOO_LATE,
}


class _Considered(NamedTuple):
    """An upstream, and what the picker says if it is the only one."""

    upstream: Upstream
    obstacle: Obstacle | None
    seconds: float | None


class _ReadOnlyPool:
    """A pool that is read only; view is the one of the request under evaluation."""

    def __init__(self, pool: Pool, view: UpstreamView) -> None:
        self._pool = pool
        self._view = view

    def __getattr__(self, name: str) -> Any:
        return getattr(self._pool, name)

    def view(self, _job: Job) -> UpstreamView:
        """Return the view of the request, which the pool doesn't keep."""
        return self._view

    def refresh(self, _upstream: Upstream, _now: float) -> None:
        """Leave the pool as it is."""


class _ReadOnlyQueue:
    """A queue that creates no tier when it is asked for one."""

    def __init__(self, queue: PoolQueue, limiter: WorkspaceLimiter) -> None:
        self.tiers_by_rank = queue.tiers_by_rank
        self._limiter = limiter

    def tier(self, rank: float) -> TierQueue:
        """Return the queue of a tier, an empty one if nothing has waited in it."""
        found = self.tiers_by_rank.get(rank)
        return TierQueue(rank, True, self._limiter) if found is None else found


class PlacementQuery:
    """Answers where a request would be placed; nothing is queued or granted."""

    def __init__(
        self,
        parameters: PolicyParameters,
        pool: Pool,
        queue: PoolQueue,
        limiter: WorkspaceLimiter,
        size_estimator: SizeEstimator,
        ordering: Ordering,
        wait_estimator: WaitEstimator,
        isolation: Isolation,
    ) -> None:
        self._parameters = parameters
        self._pool = pool
        self._queue = queue
        self._limiter = limiter
        self._size_estimator = size_estimator
        self._ordering = ordering
        self._wait_estimator = wait_estimator
        self._isolation = isolation

    def answer(
        self, request: WaitingRequest, waiting: int, now: float
    ) -> dict[str, Any]:
        """Return the evaluation of a request that isn't registered, for operators."""
        view = self._new_view(request, self._pool.upstreams_by_name.values())
        pool = _ReadOnlyPool(self._pool, view)
        picker = UpstreamPicker(
            self._parameters,
            pool,
            random.Random(self._parameters.seed),
            self._isolation,
        )
        job = self._job(request, now)
        queue = _ReadOnlyQueue(self._queue, self._limiter)
        wait = self._wait_estimator.over(pool, queue).expected_wait(job, now)
        with ExitStack() as stack:
            for upstream in self._pool.upstreams_by_name.values():
                stack.enter_context(upstream.ledger.unchanged())
            pick = picker.pick(job, view, now)
            considered = [
                self._consider(picker, job, upstream, now)
                for _, upstream in sorted(self._pool.upstreams_by_name.items())
            ]
        picked = _picked(pick, considered, len(view.members))
        ahead = sum(
            tier.count
            for rank, tier in self._queue.tiers_by_rank.items()
            if rank <= job.queue_rank
        )
        return {
            "outcome": self._outcome(job, pick, view, ahead, now),
            "upstream": picked,
            "expected_seconds": _rounded(pick.total) if picked else None,
            "drawn_at_random": len(view.members) > SCAN_ALL_UP_TO,
            "waiting": waiting,
            "waiting_ahead": ahead,
            "expected_wait": round(wait, 3),
            "limits": self._limits(job.workspace, now),
            "candidates": [
                self._candidate(item, job, picked, now) for item in considered
            ],
        }

    def _new_view(self, request: WaitingRequest, upstreams: Any) -> UpstreamView:
        view = UpstreamView(request.upstream_names)
        for upstream in upstreams:
            if upstream.member and view.allows(upstream.name):
                view.members.add(upstream.name)
                if upstream.free:
                    view.free.add(upstream.name)
        return view

    def _job(self, request: WaitingRequest, now: float) -> Job:
        job = Job(request, sys.maxsize, now)
        self._size_estimator.size(job)
        job.order_key = self._ordering.key(job)
        excluded = self._pool.excluded(request.entry_host, now)
        job.group_key = (
            request.upstream_names,
            excluded.union(request.tried),
            job.kind,
            self._isolation.suspect_key(request, now),
        )
        return job

    def _consider(
        self, picker: UpstreamPicker, job: Job, upstream: Upstream, now: float
    ) -> _Considered:
        obstacle = self._obstacle(job, upstream, now)
        if obstacle is not None:
            return _Considered(upstream, obstacle, None)
        alone = picker.pick(job, self._new_view(job.request, (upstream,)), now)
        if alone.status is not PickStatus.PICKED:
            return _Considered(upstream, _OBSTACLE_BY_STATUS[alone.status], None)
        return _Considered(upstream, None, alone.total)

    def _obstacle(self, job: Job, upstream: Upstream, now: float) -> Obstacle | None:
        """Return the first obstacle that doesn't depend on the picker's estimates."""
        request, pool, name = job.request, self._pool, upstream.name
        names = request.upstream_names
        applies_by_obstacle = {
            Obstacle.SELECTOR: names is not None and name not in names,
            Obstacle.TRIED: name in request.tried,
            Obstacle.LEAVING: upstream.leaving,
            Obstacle.SILENT: not upstream.usable(now),
            Obstacle.VERSION: not pool.version_rules.may_serve(upstream.version),
            Obstacle.PAUSED: name in pool.pauses.names(request.entry_host, now),
            Obstacle.UNREACHED: name in pool.paths.unreached(request.entry_host, now),
            Obstacle.UNHEALTHY: not upstream.health.allows_request(
                upstream.ledger.in_flight, now
            ),
            Obstacle.FULL: upstream.free_slots(now) < 1,
            Obstacle.RATE_LIMIT: upstream.rate_limiter.wait_seconds(now) > 0,
            Obstacle.PREFILL_BACKLOG: upstream.prefill_wait(now) > 0,
            Obstacle.UNAVAILABLE: not upstream.can_take(now),
            Obstacle.RESERVED: upstream.reserved_for is not None,
            Obstacle.MEMORY: not upstream.has_memory_for(job.kv_tokens),
        }
        found = (item for item, applies in applies_by_obstacle.items() if applies)
        return next(found, None)

    def _outcome(
        self, job: Job, pick: PickResult, view: UpstreamView, ahead: int, now: float
    ) -> Outcome:
        workspace = job.workspace
        if self._limiter.rate_wait(workspace, now) > 0:
            return Outcome.RATE_LIMIT
        capped = self._limiter.at_concurrency_limit(workspace)
        most = max(1, self._limiter.concurrency(workspace) or 0)
        if capped and self._limiter.waiting(workspace) >= most:
            return Outcome.CONCURRENCY_LIMIT
        if not len(view.members):
            return Outcome.NO_UPSTREAM
        if pick.status is PickStatus.LATE:
            return Outcome.TOO_LATE
        if pick.status is PickStatus.PICKED and not ahead and not capped:
            return Outcome.GRANTED
        return Outcome.WAITS

    def _limits(self, workspace: str, now: float) -> dict[str, Any]:
        limiter = self._limiter
        return {
            "in_flight": limiter.in_flight(workspace),
            "concurrency": limiter.concurrency(workspace),
            "rate_wait": round(limiter.rate_wait(workspace, now), 3),
        }

    def _candidate(
        self, item: _Considered, job: Job, picked: str | None, now: float
    ) -> dict[str, Any]:
        upstream = item.upstream
        is_picked = upstream.name == picked
        reason = item.obstacle
        if reason is None and not is_picked:
            # It accepts the request alone, but the pool as a whole may not.
            blocked = picked is None and job.kind == LONG
            reason = Obstacle.LONG_PREFILLS if blocked else Obstacle.SLOWER
        return {
            "upstream": upstream.name,
            "picked": is_picked,
            "reason": None if is_picked else reason,
            "expected_seconds": _rounded(item.seconds),
            "in_flight": upstream.ledger.in_flight,
            "free_slots": round(upstream.free_slots(now), 2),
            "version": upstream.version,
        }


def _picked(
    pick: PickResult, considered: list[_Considered], members: int
) -> str | None:
    """Return the upstream that would be picked.

    In a large pool the picker draws some at random. The answer is the fastest of those
    that accept the request, so that it is the same each time.
    """
    if pick.status is not PickStatus.PICKED or pick.upstream is None:
        return None
    accepting = [item for item in considered if item.seconds is not None]
    if members <= SCAN_ALL_UP_TO or not accepting:
        return pick.upstream.name
    return min(accepting, key=lambda item: item.seconds).upstream.name


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 4)
