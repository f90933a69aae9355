"""Sums of what happened of late."""

import math

COMEBACK_SECONDS = 2.0
"""Seconds in which refused work is forgotten to a third; callers come back once, and
few of them later than that. A choice, not measured."""


class Fading:
    """A sum of amounts that are forgotten by and by."""

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
