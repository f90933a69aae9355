"""Decaying rate and capacity meters, and the Retry-After of refusals."""

import math
import random

from bitterntiller.components.dispatch.const import (
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    RETRY_JITTER,
)


class RateMeter:
    """An exponentially weighted rate of amounts per second."""

    __slots__ = ("_at", "_begin", "_seconds", "_sum")

    def __init__(self, seconds: float, now: float) -> None:
        self._seconds = seconds
        self._sum = 0.0
        self._at = now
        self._begin = now

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        self._decay(now)
        self._sum += amount

    def rate(self, now: float) -> float:
        """Return the amount per second; a new meter divides by its age."""
        self._decay(now)
        age = now - self._begin
        window = self._seconds * -math.expm1(-age / self._seconds)
        return self._sum / max(window, 0.1)

    def unobserved_fraction(self, now: float) -> float:
        """Return the fraction of the window before the meter started, from 1 to 0."""
        return max(0.0, 1.0 - (now - self._begin) / self._seconds)

    def _decay(self, now: float) -> None:
        if now > self._at:
            self._sum *= math.exp((self._at - now) / self._seconds)
            self._at = now


class CapacityMeter:
    """Measures the work per second that the pool takes on under backlog.

    Only intervals with a backlog at both ends measure the capacity; in the others the
    rate is bounded by arrivals. Work is in seconds of expected service.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._granted = 0.0
        self._since = 0.0
        self._saturated = False
        self._capacity = 0.0
        self._weight = 0.0

    def add_granted(self, work: float) -> None:
        """Add granted work."""
        self._granted += work

    def close_interval(self, saturated: bool, now: float) -> None:
        """Close an interval; saturated is true if work waits at its end."""
        elapsed = now - self._since
        if elapsed <= 0:
            return
        if saturated and self._saturated and elapsed < self._seconds:
            gain = elapsed / self._seconds
            self._weight += (1 - self._weight) * gain
            rate = self._granted / elapsed
            self._capacity += (rate - self._capacity) * gain / self._weight
        self._granted = 0.0
        self._since = now
        self._saturated = saturated

    def capacity(self, assumed: float) -> float:
        """Return work per second, starting at assumed until enough is measured."""
        weight = min(1.0, 2 * self._weight)
        measured = max(self._capacity, 0.05 * assumed)
        return weight * measured + (1 - weight) * assumed


def jittered_retry_after(seconds: float, rng: random.Random) -> float:
    """Return the Retry-After seconds for the time that the backlog needs to drain.

    The jitter keeps callers that were refused together from retrying together.
    """
    spread = 1.0 + RETRY_JITTER * rng.random()
    return min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS) * spread
