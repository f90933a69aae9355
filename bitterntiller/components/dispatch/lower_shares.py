"""Shares of the slots that lower tiers get ahead of the tiers above them."""

from copy import copy, deepcopy
from typing import Self

from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.components.dispatch.queue import PoolQueue, groups_overlap
from bitterntiller.components.dispatch.served_fractions import ServedFractions


class LowerShares:
    """Decides which tiers are due their share of the slots.

    Each tier below the most important one may hold a share of the slots ahead of the
    tiers above it, so that a long overload by these starves no tier. It is due only to
    a tier that isn't served more often than a tier above it whose requests wait for the
    same upstreams: the same share is most of the demand of a tier with short requests,
    and little of that of a tier with long ones.
    """

    def __init__(self, pool: Pool, queue: PoolQueue, share: float) -> None:
        self._pool = pool
        self._queue = queue
        self.share = share
        self.served = ServedFractions()

    def read_only_copy(self) -> Self:
        """Return shares that are read without a change to these measurements."""
        found = copy(self)
        found.served = deepcopy(self.served)
        return found

    def next_job(self, blocked: set[tuple[float, tuple]], now: float) -> Job | None:
        """Return the next request of a tier that holds less than its share, or None."""
        for rank in self._pool.ranks_below_share(self.share):
            job = self._queue.head_of(rank, blocked)
            if job is not None and self.is_due(job, now):
                return job
        return None

    def is_due(self, job: Job, now: float) -> bool:
        """Return whether the tier of a request gets its share before those above it."""
        if not self.share or job.demoted or not self._pool.tiers_above(job.rank):
            return False
        fraction: float | None = None
        for rank, tier in self._queue.tiers_by_rank.items():
            if rank >= job.rank:
                break
            if not any(
                groups_overlap(key, job.group_key) for key in tier.groups_by_key
            ):
                continue
            if fraction is None:
                fraction = self.served.fraction(job.rank, now)
            if self.served.fraction(int(rank), now) < fraction:
                return False
        return True
