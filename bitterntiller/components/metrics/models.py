"""Histograms of timers."""

from bisect import bisect_left
from itertools import accumulate
from typing import TypedDict

_SMALLEST = 0.0001
_GROWTH = 1.25
_BUCKETS = 75

BOUNDS = tuple(_SMALLEST * _GROWTH**index for index in range(_BUCKETS))
"""Upper bounds of the buckets in seconds, from 0.1 ms to about 25 minutes."""


class TimerSummary(TypedDict):
    """A timer in the state dump, in seconds; percentiles are at most 25% too high."""

    count: int
    mean: float
    p50: float
    p99: float
    max: float


class Histogram:
    """Counts of durations in buckets; each bound is 25% above the previous one."""

    def __init__(self) -> None:
        self._counts = [0] * (len(BOUNDS) + 1)
        self._count = 0
        self._sum = 0.0
        self._max = 0.0

    def add(self, seconds: float) -> None:
        """Count a duration in seconds."""
        self._counts[bisect_left(BOUNDS, seconds)] += 1
        self._count += 1
        self._sum += seconds
        self._max = max(self._max, seconds)

    @property
    def total(self) -> float:
        """The sum of all durations in seconds."""
        return self._sum

    def cumulative(self) -> list[int]:
        """Return the number of durations up to each bound, and their total number."""
        return list(accumulate(self._counts))

    def quantile(self, fraction: float) -> float:
        """Return an upper bound of the given quantile."""
        rank = fraction * self._count
        seen = 0
        for bound, count in zip(BOUNDS, self._counts, strict=False):
            seen += count
            if count and seen >= rank:
                return min(bound, self._max)
        return self._max

    def summary(self) -> TimerSummary:
        """Return the summary for the state dump."""
        return TimerSummary(
            count=self._count,
            mean=self._sum / self._count if self._count else 0.0,
            p50=self.quantile(0.5),
            p99=self.quantile(0.99),
            max=self._max,
        )
