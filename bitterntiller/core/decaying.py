"""Exponentially decaying sums, and maxima over a sliding window."""

import math
from collections import deque

RETRY_DECAY_SECONDS = 2.0
"""Time constant with which refused work decays.

Callers retry once, and few of them later than this.
"""


class DecayingSum:
    """A sum of amounts that decay exponentially."""

    __slots__ = ("_at", "_seconds", "_sum")

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._sum = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> float:
        """Add an amount and return the decayed sum."""
        self._sum = self.sum(now) + amount
        self._at = now
        return self._sum

    def sum(self, now: float) -> float:
        """Return the decayed sum; each time constant leaves about a third of it."""
        return self._sum * math.exp((self._at - now) / self._seconds)


class WindowedMaximum:
    """The largest amount within a sliding window, in seconds."""

    __slots__ = ("_amounts", "_seconds")

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._amounts: deque[tuple[float, float]] = deque()

    def add(self, amount: float, now: float) -> float:
        """Add an amount and return the maximum of the window that ends now.

        An amount that is followed by a larger one is dropped, since it can never
        become the maximum again.
        """
        amounts = self._amounts
        while amounts and amounts[-1][1] <= amount:
            amounts.pop()
        amounts.append((now, amount))
        return self.maximum(now)

    def maximum(self, now: float) -> float:
        """Return the maximum of the window that ends now, 0 if it is empty."""
        amounts = self._amounts
        while amounts and amounts[0][0] < now - self._seconds:
            amounts.popleft()
        return amounts[0][1] if amounts else 0.0
