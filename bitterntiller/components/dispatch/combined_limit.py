"""The limit of the requests in flight at an upstream, of all that limits it."""

from collections.abc import Callable
from typing import Protocol

from bitterntiller.components.dispatch.concurrency import LearnedLimit
from bitterntiller.components.dispatch.inflight import InflightLimit


class ConcurrencyLimit(Protocol):
    """Limits the requests in flight at an upstream."""

    def limit(self, slots: int) -> int:
        """Return the limit, at most the slots that the upstream announced."""
        ...

    def learn(self, ratio: float, slots: int) -> None:
        """Learn from the latency of one request relative to its size."""
        ...

    def record_rejection(self, in_flight: int, slots: int) -> None:
        """Lower the limit after a rejection with in_flight other requests."""
        ...


class CombinedLimit:
    """The limit by rejections and latency, and the learned one where it is in effect.

    uneven returns whether the learned limit is in effect.
    """

    def __init__(
        self, adaptive: bool, uneven: Callable[[], bool], suspects: bool = True
    ) -> None:
        self._inflight: ConcurrencyLimit = InflightLimit(adaptive)
        self.learned = LearnedLimit(suspects)
        self._uneven = uneven

    def limit(self, slots: int) -> int:
        """Return the limit, at most the slots that the upstream announced."""
        found = self._inflight.limit(slots)
        return min(found, self.learned.limit(slots)) if self._uneven() else found

    def learn(self, ratio: float, slots: int) -> None:
        """Learn from the latency of one request relative to its size."""
        self._inflight.learn(ratio, slots)

    def record_rejection(self, in_flight: int, slots: int) -> None:
        """Lower the limit after a rejection with in_flight other requests."""
        self._inflight.record_rejection(in_flight, slots)
