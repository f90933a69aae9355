"""How many requests an upstream may have in flight, learned from its latency."""

import math

TOLERANCE = 2.5
LONG_RUN_GAIN = 0.01
RECENT_GAIN = 0.2
MIN_LIMIT = 2.0
LIMIT_GAIN = 0.2
RECOVERY_STEP = 0.25
"""By how much each answer raises a limit that a refusal has lowered."""


class InflightLimit:
    """Lowers the limit when latency grows beyond its long-run mean.

    The ratio of the long-run to the present latency, with some tolerance, is
    the gradient by which the limit shrinks; a root of the limit is added, so
    that it grows back to the upstream's slots. Latency is taken as the ratio of
    seen to expected seconds, so that sizes don't matter.
    """

    __slots__ = ("_adaptive", "_long_run_ratio", "_recent_ratio", "_value")

    def __init__(self, adaptive: bool = True) -> None:
        self._adaptive = adaptive
        self._long_run_ratio: float | None = None
        self._recent_ratio = 1.0
        self._value = math.inf

    def limit(self, slots: int) -> int:
        """Return the limit, never above the slots that the upstream announces."""
        return max(1, int(min(float(slots), self._value)))

    def learn(self, ratio: float, slots: int) -> None:
        """Learn from the latency of one request, relative to its size.

        Without adaptive a limit that was lowered by a refusal grows back alone.
        """
        if not self._adaptive:
            self._value = min(self._value + RECOVERY_STEP, float(slots))
            return
        if self._long_run_ratio is None:
            self._long_run_ratio = self._recent_ratio = ratio
            self._value = float(slots)
            return
        self._recent_ratio += RECENT_GAIN * (ratio - self._recent_ratio)
        self._long_run_ratio += LONG_RUN_GAIN * (ratio - self._long_run_ratio)
        gradient = min(
            1.0,
            max(0.5, TOLERANCE * self._long_run_ratio / max(self._recent_ratio, 1e-9)),
        )
        value = min(self._value, float(slots))
        target = value * gradient + math.sqrt(value)
        value += LIMIT_GAIN * (target - value)
        self._value = min(max(value, MIN_LIMIT), float(slots))

    def record_rejection(self, in_flight: int, slots: int) -> None:
        """Learn that the upstream took no more beside so many in flight."""
        self._value = max(MIN_LIMIT, min(self._value, float(slots), float(in_flight)))
