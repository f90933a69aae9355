"""Remembers for a bounded time what began a stream."""

from bitterntiller.components.stream_versions.const import (
    KEPT_SECONDS,
    MAX_KEPT_STREAMS,
)
from bitterntiller.components.stream_versions.models import Beginning, BegunStream


class StreamMemory:
    """Begun streams by digest, in two generations of KEPT_SECONDS each.

    A record is dropped with its generation, so that nothing has to be scanned.
    """

    def __init__(self, now: float) -> None:
        self._recent: dict[int, BegunStream] = {}
        self._older: dict[int, BegunStream] = {}
        self._rotated_at = now

    def remember(
        self, digest: int, beginning: Beginning, at: float, now: float
    ) -> None:
        """Remember what began a stream, and that it went on at a time.

        A stream that is reported with another beginning than before counts as unknown:
        the id of its first attempt was used twice.
        """
        self._rotate(now)
        known = self._recent.pop(digest, None) or self._older.get(digest)
        if known is not None and known.beginning != beginning:
            self._recent[digest] = BegunStream(None, max(at, known.at))
        else:
            newest = at if known is None else max(at, known.at)
            self._recent[digest] = BegunStream(beginning, newest)
        if len(self._recent) > MAX_KEPT_STREAMS:
            del self._recent[next(iter(self._recent))]

    def find(self, digest: int, now: float) -> BegunStream | None:
        """Return the record of a stream, None without one."""
        self._rotate(now)
        return self._recent.get(digest) or self._older.get(digest)

    def snapshot(self, now: float) -> dict[int, BegunStream]:
        """Return all records by digest."""
        self._rotate(now)
        return self._older | self._recent

    def __len__(self) -> int:
        return len(self._older.keys() | self._recent.keys())

    def _rotate(self, now: float) -> None:
        passed = now - self._rotated_at
        if passed < KEPT_SECONDS:
            return
        self._older = self._recent if passed < 2 * KEPT_SECONDS else {}
        self._recent = {}
        self._rotated_at = now
