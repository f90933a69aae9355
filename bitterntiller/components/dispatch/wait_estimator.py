"""Estimates of how long a request waits and when a refused caller should retry."""

import random
from copy import copy, deepcopy
from typing import Self

from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.lower_shares import LowerShares
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.components.dispatch.queue import PoolQueue
from bitterntiller.components.dispatch.rate_meters import (
    CapacityMeter,
    RateMeter,
    jittered_retry_after,
)
from bitterntiller.components.dispatch.return_times import (
    Forecast,
    RetryTime,
    ReturnTimes,
)
from bitterntiller.components.dispatch.workspace_limiter import WorkspaceLimiter
from bitterntiller.core.decaying import RETRY_DECAY_SECONDS, DecayingSum

METER_SECONDS = 5.0
MIN_SHARE = 0.05

NO_UPSTREAM_RETRY_SECONDS = 1.0
"""Approximate time from the start of an upstream to its announcement."""


class WaitEstimator:
    """Estimates waits from the queued work, its arrival rate and its drain rate.

    Work is in seconds of expected service on an average upstream.
    """

    def __init__(
        self,
        pool: Pool,
        queue: PoolQueue,
        limiter: WorkspaceLimiter,
        rng: random.Random,
        lower_shares: LowerShares,
    ) -> None:
        self._lower_shares = lower_shares
        self._pool = pool
        self._queue = queue
        self._limiter = limiter
        self._rng = rng
        self._capacity = CapacityMeter(METER_SECONDS)
        self._arrivals_by_rank: dict[int, RateMeter] = {}
        self._drains_by_rank: dict[int, RateMeter] = {}
        self._refused = DecayingSum(RETRY_DECAY_SECONDS)
        self.return_times = ReturnTimes(rng)
        self._slot_capacity = CapacityMeter(METER_SECONDS)

    def add_offer(self, job: Job, now: float) -> None:
        """Record a request that arrived, before it is queued or refused."""
        if self._pool.uneven:
            self.return_times.record_arrival(job, now)

    def over(self, pool: Pool, queue: PoolQueue) -> Self:
        """Return an estimator with the same measurements for another pool and queue."""
        found = copy(self)
        found._pool = pool
        found._queue = queue
        # Reading a meter rounds its decayed sum, which could change a later decision.
        found._arrivals_by_rank = deepcopy(self._arrivals_by_rank)
        found._lower_shares = self._lower_shares.read_only_copy()
        return found

    def add_arrival(self, job: Job, now: float) -> None:
        """Record the work of a request that was queued."""
        self._meter(self._arrivals_by_rank, job.rank, now).add(job.work, now)

    def add_grant(self, job: Job, now: float) -> None:
        """Record the work of a request that was granted."""
        self._meter(self._drains_by_rank, job.rank, now).add(job.work, now)
        self._capacity.add_granted(job.work)
        self._slot_capacity.add_granted(job.work / max(1, self._pool.slots))

    def add_refusal(self, job: Job, now: float) -> None:
        """Record the work of a refused request whose caller will retry."""
        self._refused.add(job.work, now)

    def close_interval(self, now: float) -> None:
        """Close a measurement interval of the capacity."""
        saturated = any(tier.count for tier in self._queue.tiers_by_rank.values())
        saturated = saturated and not self._pool.any_free
        self._capacity.close_interval(saturated, now)
        self._slot_capacity.close_interval(saturated, now)

    def capacity(self) -> float:
        """Return the work that the pool completes per second."""
        slots = max(1, self._pool.slots)
        return self._capacity.capacity(slots * self._pool.work_rate)

    def expected_wait(self, job: Job, now: float) -> float:
        """Return the expected seconds until a request is granted.

        A demoted request waits for its whole tier as well. Without any known upstream
        the result is 0: a new owner receives requests and announcements in any order,
        and would otherwise refuse work that the next announced upstream can take.
        """
        if not self._pool.slots:
            return 0.0
        capacity = self.capacity() * self._pool_fraction(job)
        ahead = 0.0
        arriving = 0.0
        for rank, tier in self._queue.tiers_by_rank.items():
            if rank >= job.queue_rank:
                break
            ahead += tier.overlapping_work(job.group_key)
            arriving += self._arrival_rate(rank, now)
        tier = self._queue.tier(job.queue_rank)
        own = tier.work_ahead(job) * self._sharing_factor(job)
        own = min(own, tier.overlapping_work(job.group_key))
        left = max(capacity - arriving, MIN_SHARE * capacity)
        wait = ahead / capacity + own / left
        if not self._lower_shares.is_due(job, now):
            return wait
        return min(wait, own / (self._lower_shares.share * capacity))

    def retry_after(self, rank: int, now: float) -> float:
        """Return after how many seconds a refused caller of a tier should retry.

        This is the time in which the work queued above its tier drains at the capacity
        of the pool, plus that in which the work queued in its tier drains at the tier's
        recent grant rate. A tier whose first requests have just arrived has no such
        rate yet. Until it has, the whole capacity is assumed, since nothing shows that
        higher tiers take all of it for long. Recently refused work is added because it
        is retried as well: a caller with a shorter time would be refused again.

        While the parts for uneven upstreams are in effect, the time is forecast by
        ReturnTimes once it has measured the arrivals.
        """
        if self._forecasts(now):
            forecast = self._forecast(rank)
            return self.return_times.seconds_until_free(rank, forecast, now)
        above = own = 0.0
        for tier_rank, tier in self._queue.tiers_by_rank.items():
            if tier_rank < rank:
                above += tier.work
            elif tier_rank < rank + 1:
                own += tier.work
        capacity = self.capacity()
        meter = self._meter(self._drains_by_rank, rank, now)
        least = max(MIN_SHARE, meter.unobserved_fraction(now)) * capacity
        drain = max(meter.rate(now), least)
        again = self._refused.sum(now)
        return jittered_retry_after((above + again) / capacity + own / drain, self._rng)

    def book_retry(self, job: Job, now: float) -> RetryTime:
        """Return when the caller of a request that is refused now should retry."""
        self.add_refusal(job, now)
        if self._forecasts(now):
            forecast = self._forecast(job.rank)
            return self.return_times.book(job, forecast, now)
        return RetryTime(self.retry_after(job.rank, now))

    def retry_without_upstream(self) -> float:
        """Return after how many seconds to retry if there is no usable upstream."""
        return jittered_retry_after(NO_UPSTREAM_RETRY_SECONDS, self._rng)

    def _forecasts(self, now: float) -> bool:
        """Return whether retry times come from the forecast of free capacity."""
        return self._pool.uneven and self.return_times.ready(now)

    def _forecast(self, rank: int) -> Forecast:
        """Return the capacity of the present slots and the work ahead of a tier.

        The capacity is measured per slot. That of the whole pool would include lost
        upstreams for some seconds.
        """
        waiting = sum(
            tier.work
            for tier_rank, tier in self._queue.tiers_by_rank.items()
            if tier_rank < rank + 1
        )
        per_slot = self._slot_capacity.capacity(self._pool.work_rate)
        return Forecast(max(1, self._pool.slots) * per_slot, waiting)

    def _sharing_factor(self, job: Job) -> float:
        """Return the factor by which fair sharing prolongs a workspace's wait."""
        tier = self._queue.tier(job.queue_rank)
        own = self._limiter.share(job.workspace)
        if job.workspace in tier.work_by_workspace:
            return tier.shares / own
        return (tier.shares + own) / own

    def _pool_fraction(self, job: Job) -> float:
        """Return the fraction of the pool's upstreams that a request may use."""
        if job.request.upstream_names is None:
            return 1.0
        whole = max(1, len(self._pool.views.unrestricted.members))
        return max(1, len(self._pool.view(job).members)) / whole

    def _arrival_rate(self, rank: int, now: float) -> float:
        meter = self._arrivals_by_rank.get(rank)
        return 0.0 if meter is None else meter.rate(now)

    @staticmethod
    def _meter(meters: dict[int, RateMeter], rank: int, now: float) -> RateMeter:
        meter = meters.get(rank)
        if meter is None:
            meter = meters[rank] = RateMeter(METER_SECONDS, now)
        return meter
