"""The rate limits that upstreams state in their responses."""

from typing import NamedTuple

from bitterntiller.components.entry.decimals import parse_decimal
from bitterntiller.core.interfaces import Ownership

MAX_RATE = 1_000_000.0
"""Requests per second above which a limit is ignored, since it limits nothing."""

KEPT_SECONDS = 60.0
"""How long a limit is kept, for a later owner of the pool."""

MAX_KEPT = 4096


def parse_rate(text: str | None) -> float | None:
    """Return a limit in requests per second, None if absent, malformed or too high."""
    rate = parse_decimal(text)
    return None if rate is None or rate > MAX_RATE else rate


class ReportedLimit(NamedTuple):
    """The limit in a response, None if it had none; at is when the response began."""

    pool: str
    upstream: str
    incarnation: str
    limit: float | None
    at: float


class RateLimitCache:
    """Stores the newest limit of each upstream in responses to this host."""

    def __init__(self, most: int = MAX_KEPT) -> None:
        self._most = most
        self._by_upstream: dict[str, ReportedLimit] = {}
        self._owner_by_pool: dict[str, Ownership] = {}

    def store(self, reported: ReportedLimit) -> None:
        """Store the limit of a response, and drop old ones."""
        self._by_upstream.pop(reported.upstream, None)
        self._by_upstream[reported.upstream] = reported
        oldest = reported.at - KEPT_SECONDS
        for name, first in list(self._by_upstream.items()):
            if first.at >= oldest and len(self._by_upstream) <= self._most:
                return
            del self._by_upstream[name]

    def for_new_owner(
        self, pool: str, owner: Ownership, now: float
    ) -> list[ReportedLimit]:
        """Return all limits of a pool for a new owner, nothing if it isn't new."""
        if self._owner_by_pool.get(pool) == owner:
            return []
        self._owner_by_pool[pool] = owner
        return self.for_pool(pool, now)

    def for_pool(self, pool: str, now: float) -> list[ReportedLimit]:
        """Return the recent limits of a pool's upstreams."""
        return [
            reported
            for reported in self._by_upstream.values()
            if reported.pool == pool and now - reported.at <= KEPT_SECONDS
        ]
