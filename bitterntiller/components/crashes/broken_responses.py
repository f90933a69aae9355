"""Broken responses whose upstream may have crashed, until that is known; no I/O.

A crash is proved some tenths of a second after the response broke. Until then other
requests with the same fingerprints could crash further upstreams.
"""

from collections.abc import Iterable

from bitterntiller.components.crashes import const
from bitterntiller.core.interfaces import CrashView


class BrokenResponses:
    """The upstreams whose response to a fingerprint broke and isn't explained yet."""

    def __init__(self, crashes: CrashView) -> None:
        self._crashes = crashes
        self._expiry_by_upstream_by_fingerprint: dict[int, dict[str, float]] = {}

    @property
    def any(self) -> bool:
        """Return whether any response may be unexplained."""
        return bool(self._expiry_by_upstream_by_fingerprint)

    def add(self, fingerprints: Iterable[int], upstream: str, now: float) -> None:
        """Record that an upstream broke off its response, or never began it."""
        expiry = now + const.EXPLANATION_SECONDS
        for fingerprint in fingerprints:
            if upstream in self._crashed_lately(fingerprint, now):
                continue
            pending = self._expiry_by_upstream_by_fingerprint
            pending.setdefault(fingerprint, {})[upstream] = expiry

    def count(self, fingerprint: int, now: float) -> int:
        """Return how many upstreams may have crashed under a fingerprint."""
        pending = self._expiry_by_upstream_by_fingerprint.get(fingerprint)
        if pending is None:
            return 0
        for upstream, expiry in list(pending.items()):
            if expiry <= now:
                del pending[upstream]
        if not pending:
            del self._expiry_by_upstream_by_fingerprint[fingerprint]
        return len(pending)

    def review(self, fingerprints: Iterable[int], now: float) -> None:
        """Drop what new evidence explains: a crash, or that a fingerprint is sound."""
        for fingerprint in fingerprints:
            pending = self._expiry_by_upstream_by_fingerprint.get(fingerprint)
            if pending is None:
                continue
            if not self._crashes.count(fingerprint, now):
                pending.clear()
            for upstream in self._crashed_lately(fingerprint, now) & pending.keys():
                del pending[upstream]
            self.count(fingerprint, now)

    def _crashed_lately(self, fingerprint: int, now: float) -> frozenset[str]:
        """Return the upstreams whose crash may explain a response that just broke.

        An earlier crash of another process of the same upstream doesn't.
        """
        since = now - 2 * const.EXPLANATION_SECONDS
        return self._crashes.upstreams(fingerprint, since)

    def drop_upstream(self, upstream: str) -> None:
        """Drop the broken responses of an upstream that has shown that it goes on."""
        pending = self._expiry_by_upstream_by_fingerprint
        for fingerprint, expiry_by_upstream in list(pending.items()):
            expiry_by_upstream.pop(upstream, None)
            if not expiry_by_upstream:
                del pending[fingerprint]

    def drop(self, fingerprints: Iterable[int]) -> None:
        """Drop what broke under fingerprints that have proved to be sound."""
        for fingerprint in fingerprints:
            self._expiry_by_upstream_by_fingerprint.pop(fingerprint, None)

    def expire(self, now: float) -> None:
        """Drop responses that were not explained in time."""
        for fingerprint in list(self._expiry_by_upstream_by_fingerprint):
            self.count(fingerprint, now)
