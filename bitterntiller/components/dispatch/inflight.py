"""How many requests an upstream may have in flight, learned from its latency."""

import math

TOLERANCE = 2.5
BASE_GAIN = 0.01
NOW_GAIN = 0.2
MIN_LIMIT = 2.0
SMOOTH = 0.2
REGAIN = 0.25
"""By how much each answer raises a limit that a refusal has lowered."""


class InflightLimit:
    """Lowers the limit when latency grows beyond its long-run mean.

    The ratio of the long-run to the present latency, with some tolerance, is
    the gradient by which the limit shrinks; a root of the limit is added, so
    that it grows back to the upstream's slots. Latency is taken as the ratio of
    seen to expected seconds, so that sizes don't matter.
    """

    __slots__ = ("_adaptive", "_base", "_now", "_value")

    def __init__(self, adaptive: bool = True) -> None:
        self._adaptive = adaptive
        self._base: float | None = None
        self._now = 1.0
        self._value = math.inf

    def limit(self, slots: int) -> int:
        """Return the limit, never above the slots that the upstream announces."""
        return max(1, int(min(float(slots), self._value)))

    def learn(self, ratio: float, slots: int) -> None:
        """Learn from the latency of one request, relative to its size.

        Without adaptive a limit that was lowered by a refusal grows back alone.
        """
        if not self._adaptive:
            self._value = min(self._value + REGAIN, float(slots))
            return
        if self._base is None:
            self._base = self._now = ratio
            self._value = float(slots)
            return
        self._now += NOW_GAIN * (ratio - self._now)
        self._base += BASE_GAIN * (ratio - self._base)
        gradient = min(1.0, max(0.5, TOLERANCE * self._base / max(self._now, 1e-9)))
        value = min(self._value, float(slots))
        target = value * gradient + math.sqrt(value)
        value += SMOOTH * (target - value)
        self._value = min(max(value, MIN_LIMIT), float(slots))

    def not_admitted(self, in_flight: int, slots: int) -> None:
        """Learn that the upstream took no more beside so many in flight."""
        self._value = max(MIN_LIMIT, min(self._value, float(slots), float(in_flight)))
