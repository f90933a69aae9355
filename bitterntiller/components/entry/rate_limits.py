"""The rates that upstreams name in their answers."""

import re
from typing import NamedTuple

from bitterntiller.core.interfaces import Ownership

MAX_RATE = 1_000_000.0
"""Requests a second above which a limit bounds nothing."""

_DECIMAL = re.compile(r"\s*[0-9]{1,12}(\.[0-9]{0,12})?\s*", re.ASCII)

KEPT_SECONDS = 60.0
"""How long what an answer named is kept for an owner that takes the pool over."""

MAX_KEPT = 4096


def parse_rate(text: str | None) -> float | None:
    """Return a limit in requests a second, None for no limit or no such number."""
    if text is None or not _DECIMAL.fullmatch(text):
        return None
    rate = float(text)
    return rate if rate <= MAX_RATE else None


class ReportedLimit(NamedTuple):
    """What an answer named, None for none, and when it began on this host's clock."""

    pool: str
    upstream: str
    incarnation: str
    limit: float | None
    at: float


class RateLimitCache:
    """The newest limit of each upstream that answers here have named."""

    def __init__(self, most: int = MAX_KEPT) -> None:
        self._most = most
        self._by_upstream: dict[str, ReportedLimit] = {}
        self._owner_by_pool: dict[str, Ownership] = {}

    def note(self, reported: ReportedLimit) -> None:
        """Keep what an answer named."""
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
        """Return what to tell a pool's owner: all of it once, then nothing."""
        if self._owner_by_pool.get(pool) == owner:
            return []
        self._owner_by_pool[pool] = owner
        return self.for_pool(pool, now)

    def for_pool(self, pool: str, now: float) -> list[ReportedLimit]:
        """Return the limits that answers of a pool's upstreams have named of late."""
        return [
            reported
            for reported in self._by_upstream.values()
            if reported.pool == pool and now - reported.at <= KEPT_SECONDS
        ]
