"""Adaptive limit of the requests in flight at an upstream, based on its latency."""

import math

TOLERANCE = 2.5
LONG_RUN_GAIN = 0.01
RECENT_GAIN = 0.2
MIN_LIMIT = 2.0
LIMIT_GAIN = 0.2
RECOVERY_STEP = 0.25
"""Increase of a lowered limit per response, if the limit isn't adaptive."""


class InflightLimit:
    """Limit that is lowered when latency grows beyond its long-run mean.

    The limit is multiplied by the gradient, which is TOLERANCE times the long-run over
    the recent latency, clipped to 0.5 to 1. The square root of the limit is added, so
    that it grows back to the upstream's slots. Latency is the ratio of measured to
    expected service time, so that the sizes of requests don't matter.
    """

    __slots__ = ("_adaptive", "_long_run_ratio", "_recent_ratio", "_value")

    def __init__(self, adaptive: bool = True) -> None:
        self._adaptive = adaptive
        self._long_run_ratio: float | None = None
        self._recent_ratio = 1.0
        self._value = math.inf

    def limit(self, slots: int) -> int:
        """Return the limit, which is at most the slots that the upstream announced."""
        return max(1, int(min(float(slots), self._value)))

    def learn(self, ratio: float, slots: int) -> None:
        """Update the limit with the latency of one request relative to its size.

        If the limit isn't adaptive, it only recovers from rejections.
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
        """Lower the limit to the number in flight when a request was rejected."""
        self._value = max(MIN_LIMIT, min(self._value, float(slots), float(in_flight)))
