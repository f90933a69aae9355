"""Concurrency limits by other algorithms, to compare with the learned one."""

import math
from collections import deque

from bitterntiller.components.dispatch.concurrency import LearnedLimit, LimitChange
from bitterntiller.components.dispatch.concurrency_samples import MAX_SAMPLES, Sample
from bitterntiller.components.dispatch.inflight import InflightLimit

AIMD_RATIO = 2.0
AIMD_FACTOR = 0.7
AIMD_STEP = 0.25
SLOPE_SECONDS = 3.0
SLOPE_PRIOR = 0.05
SLOPE_STEP = 0.15


class _OtherLimit(LearnedLimit):
    """A limit that moves with each sample, without trials."""

    def __init__(self) -> None:
        super().__init__(suspects=False)
        self._value = math.inf

    def limit(self, slots: int) -> int:
        """Return the limit."""
        return max(1, int(min(self._value, slots)))

    def learned(self, slots: int) -> int:
        """Return the limit."""
        return self.limit(slots)

    def review(
        self, in_flight: float, slots: int, running_ratios: list[float], now: float
    ) -> None:
        """Do nothing."""

    def take_change(self, slots: int, now: float) -> LimitChange | None:
        """Return None."""
        return None


class GradientLimit(_OtherLimit):
    """The latency gradient of InflightLimit."""

    def __init__(self) -> None:
        super().__init__()
        self._gradient = InflightLimit(adaptive=True)

    def limit(self, slots: int) -> int:
        """Return the limit."""
        return self._gradient.limit(slots)

    def learn(self, sample: Sample, in_flight: float, slots: int) -> None:
        """Learn from a request that ended."""
        self._gradient.learn(sample.seconds / sample.expected, slots)


class AimdLimit(_OtherLimit):
    """Additive increase, multiplicative decrease once latency is AIMD_RATIO as long."""

    def learn(self, sample: Sample, in_flight: float, slots: int) -> None:
        """Learn from a request that ended."""
        value = min(self._value, float(slots))
        if sample.seconds > AIMD_RATIO * sample.expected:
            self._value = max(1.0, value * AIMD_FACTOR)
        elif in_flight + 0.5 >= self.limit(slots):
            self._value = min(value + AIMD_STEP, float(slots))


class SlopeLimit(_OtherLimit):
    """Follows the slope of throughput by concurrency, as regressed over samples.

    Concurrency varies only as the load does.
    """

    def __init__(self) -> None:
        super().__init__()
        self._recent: deque[Sample] = deque(maxlen=MAX_SAMPLES)

    def learn(self, sample: Sample, in_flight: float, slots: int) -> None:
        """Learn from a request that ended."""
        self._recent.append(sample)
        while self._recent[0].at < sample.at - SLOPE_SECONDS:
            self._recent.popleft()
        x = [item.log_in_flight for item in self._recent]
        y = [item.log_ratio for item in self._recent]
        mean_x, mean_y = sum(x) / len(x), sum(y) / len(y)
        pairs = list(zip(x, y, strict=True))
        covariance = sum((a - mean_x) * (b - mean_y) for a, b in pairs)
        variance = sum((a - mean_x) ** 2 for a in x) + SLOPE_PRIOR
        value = min(self._value, float(slots))
        step = SLOPE_STEP if covariance / variance < 1 else -SLOPE_STEP
        if step < 0 or in_flight + 0.5 >= self.limit(slots):
            self._value = min(max(value + step, 1.0), float(slots))


class FixedLimit(_OtherLimit):
    """The announced slots."""

    def learn(self, sample: Sample, in_flight: float, slots: int) -> None:
        """Ignore a request that ended."""


LIMIT_BY_NAME = {
    "learned": LearnedLimit,
    "gradient": GradientLimit,
    "aimd": AimdLimit,
    "slope": SlopeLimit,
    "slots": FixedLimit,
}
