"""How many requests may be sent again after a proof that they did not run.

Each request of a pool earns a part of a retry. While upstreams refuse most of
what they are sent, repeating it all would multiply the load on the ones that
are left, and with it the refusals; the budget bounds what retries add to a
fixed part of the load, and a small reserve lets a rarely used pool retry, too.
"""

from collections.abc import Callable

from bitterntiller.components.entry import const


class RetryBudget:
    """Counts, for each pool, the retries that its requests have earned."""

    def __init__(
        self,
        per_request: float = const.RETRIES_PER_REQUEST,
        max_retries: Callable[[], float] = lambda: const.MAX_RETRY_RESERVE,
    ) -> None:
        self._per_request = per_request
        self._max_retries = max_retries
        self._earned_by_pool: dict[str, float] = {}

    def record_request(self, pool: str) -> None:
        """Note a request that was sent for the first time."""
        earned = self._earned(pool) + self._per_request
        self._earned_by_pool[pool] = min(earned, self._max_retries())

    def has_retry_left(self, pool: str) -> bool:
        """Tell whether a retry is left."""
        return self._earned(pool) >= 1.0

    def spend(self, pool: str) -> bool:
        """Take one retry; False when none is left."""
        earned = self._earned(pool)
        if earned < 1.0:
            return False
        self._earned_by_pool[pool] = earned - 1.0
        return True

    def left_by_pool(self) -> dict[str, int]:
        """Return the whole retries that are left, for the dump."""
        return {pool: int(earned) for pool, earned in self._earned_by_pool.items()}

    def _earned(self, pool: str) -> float:
        return self._earned_by_pool.get(pool, self._max_retries())
