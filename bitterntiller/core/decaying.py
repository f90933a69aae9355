"""Decaying sums, and maxima over a sliding window."""

import math
from collections import deque

RETRY_DECAY_SECONDS = 2.0
"""Time constant with which refused work decays: callers retry once, and few of them
later than that."""


class DecayingSum:
    """A sum of amounts that decay exponentially."""

    __slots__ = ("_at", "_seconds", "_sum")

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._sum = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> float:
        """Add an amount; return the sum, in which older ones count less."""
        self._sum = self.sum(now) + amount
        self._at = now
        return self._sum

    def sum(self, now: float) -> float:
        """Return the sum, of which a third is left after each span of seconds."""
        return self._sum * math.exp((self._at - now) / self._seconds)


class WindowedMaximum:
    """The largest amount within the last span of seconds."""

    __slots__ = ("_amounts", "_seconds")

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._amounts: deque[tuple[float, float]] = deque()

    def add(self, amount: float, now: float) -> float:
        """Add an amount; return the largest of the span that ends now.

        Only amounts with no larger one after them are kept: none other can become the
        largest again.
        """
        amounts = self._amounts
        while amounts and amounts[-1][1] <= amount:
            amounts.pop()
        amounts.append((now, amount))
        return self.maximum(now)

    def maximum(self, now: float) -> float:
        """Return the largest amount of the span that ends now, 0 without any."""
        amounts = self._amounts
        while amounts and amounts[0][0] < now - self._seconds:
            amounts.popleft()
        return amounts[0][1] if amounts else 0.0
