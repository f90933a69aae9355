"""What upstreams state about themselves in responses, for the host that gets them."""

from typing import NamedTuple

from bitterntiller.components.entry.decimals import parse_decimal
from bitterntiller.core.interfaces import Ownership

MAX_PAUSE = 3600.0
"""Seconds; a longer Retry-After of an upstream counts as this."""

MAX_KEPT = 4096
"""Upstreams whose notices are kept, the latest ones."""


class Notice(NamedTuple):
    """The notice in a response.

    leaving: the upstream takes no further requests. pause is the number of seconds for
    which it wants no requests from this host.
    """

    leaving: bool = False
    pause: float = 0.0


class KeptNotice(NamedTuple):
    """The notices of one process of an upstream; paused_until is on this host's clock.

    It gets no requests from this host before paused_until, and none if it is leaving.
    """

    pool: str
    upstream: str
    incarnation: str
    leaving: bool
    paused_until: float


def parse_pause(text: str | None) -> float:
    """Return the seconds of a Retry-After header, 0 if absent, a date or malformed."""
    return min(parse_decimal(text) or 0.0, MAX_PAUSE)


class UpstreamNotices:
    """The notices of upstreams to this host.

    They bind this host also where its owner does not know them: a grant may have been
    on its way, or come from a new owner.
    """

    def __init__(self, most: int = MAX_KEPT) -> None:
        self._most = most
        self._by_upstream: dict[str, KeptNotice] = {}
        self._owner_by_pool: dict[str, Ownership] = {}

    def record(
        self, pool: str, upstream: str, incarnation: str, notice: Notice, now: float
    ) -> KeptNotice:
        """Add a notice to those of the upstream's process, and return them."""
        known = self._by_upstream.pop(upstream, None)
        leaving, paused_until = notice.leaving, now + notice.pause
        if known is not None and known.incarnation == incarnation:
            leaving = leaving or known.leaving
            paused_until = max(paused_until, known.paused_until)
        kept = KeptNotice(pool, upstream, incarnation, leaving, paused_until)
        self._by_upstream[upstream] = kept
        if len(self._by_upstream) > self._most:
            del self._by_upstream[next(iter(self._by_upstream))]
        return kept

    def is_leaving(self, upstream: str, incarnation: str) -> bool:
        """Return whether a process of an upstream has said that it is leaving."""
        known = self._by_upstream.get(upstream)
        return known is not None and known.incarnation == incarnation and known.leaving

    def is_paused(self, upstream: str, incarnation: str, now: float) -> bool:
        """Return whether a process of an upstream wants no requests from here now."""
        known = self._by_upstream.get(upstream)
        return (
            known is not None
            and known.incarnation == incarnation
            and now < known.paused_until
        )

    def for_new_owner(
        self, pool: str, owner: Ownership, now: float
    ) -> list[KeptNotice]:
        """Return the notices of a pool for a new owner, nothing if it isn't new."""
        if self._owner_by_pool.get(pool) == owner:
            return []
        self._owner_by_pool[pool] = owner
        return [
            kept
            for kept in self._by_upstream.values()
            if kept.pool == pool and (kept.leaving or now < kept.paused_until)
        ]

    def describe(self, now: float) -> dict[str, dict[str, object]]:
        """Return the notices in force by upstream, for the state dump."""
        return {
            name: {
                "incarnation": kept.incarnation,
                "leaving": kept.leaving,
                "paused_for_s": round(max(0.0, kept.paused_until - now), 3),
            }
            for name, kept in self._by_upstream.items()
            if kept.leaving or now < kept.paused_until
        }
