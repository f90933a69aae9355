"""A budget that limits retries to a fraction of the requests of a pool.

Each request earns a fraction of a retry. If upstreams refuse most requests, retrying
them all would multiply the load on the remaining upstreams and so cause more refusals.
The budget limits the added load to a fixed fraction; a small reserve allows retries in
pools with few requests.
"""

from collections.abc import Callable

from bitterntiller.components.entry import const


class RetryBudget:
    """Tracks the retries that the requests of each pool have earned."""

    def __init__(
        self,
        per_request: float = const.RETRIES_PER_REQUEST,
        max_retries: Callable[[], float] = lambda: const.MAX_RETRY_RESERVE,
    ) -> None:
        self._per_request = per_request
        self._max_retries = max_retries
        self._earned_by_pool: dict[str, float] = {}

    def record_request(self, pool: str) -> None:
        """Add the fraction of a retry that a new request earns."""
        earned = self._earned(pool) + self._per_request
        self._earned_by_pool[pool] = min(earned, self._max_retries())

    def has_retry_left(self, pool: str) -> bool:
        """Return whether the pool has a retry left."""
        return self._earned(pool) >= 1.0

    def spend(self, pool: str) -> bool:
        """Spend one retry; return False if none is left."""
        earned = self._earned(pool)
        if earned < 1.0:
            return False
        self._earned_by_pool[pool] = earned - 1.0
        return True

    def refund(self, pool: str) -> None:
        """Return a spent retry for which nothing was sent."""
        self._earned_by_pool[pool] = min(self._earned(pool) + 1.0, self._max_retries())

    def left_by_pool(self) -> dict[str, int]:
        """Return the whole retries left in each pool, for the state dump."""
        return {pool: int(earned) for pool, earned in self._earned_by_pool.items()}

    def _earned(self, pool: str) -> float:
        return self._earned_by_pool.get(pool, self._max_retries())
