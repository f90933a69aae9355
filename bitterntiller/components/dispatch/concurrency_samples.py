"""Samples of an upstream's latency by concurrency, and what they say together."""

import math
from collections import deque
from typing import NamedTuple

SAMPLE_SECONDS = 3.0
"""How long a sample is used: shorter than the 4 s in which a change is followed."""

SAMPLE_CYCLES = 3.0
"""How long a sample is used, in mean times of a request, if that is longer."""

MAX_SAMPLES = 64
PRIOR_SAMPLES = 8
PRIOR_DEVIATION = 0.25
"""Deviation of the logarithm of samples until it is measured, weighted as PRIOR_SAMPLES
samples. Noise of up to a factor of 1.5 in either direction deviates by 0.23."""


class Sample(NamedTuple):
    """One request that ended.

    seconds is the time from its grant to its end, expected the time that a request of
    its size usually takes, and in_flight the mean number in flight meanwhile, with the
    requests that others sent. allowed is the time that its objective allows, infinite
    if only the first output has one.
    """

    at: float
    seconds: float
    expected: float
    in_flight: float
    allowed: float = math.inf

    @property
    def log_ratio(self) -> float:
        """Return the logarithm of the seconds per expected second."""
        return math.log(self.seconds / self.expected)

    @property
    def log_in_flight(self) -> float:
        """Return the logarithm of the number in flight."""
        return math.log(max(self.in_flight, 0.5))


class SampleGroup(NamedTuple):
    """Samples of one level of concurrency, by their mean logarithms.

    late is the fraction that took longer than their objective allows.
    """

    count: int
    log_ratio: float
    log_in_flight: float
    squared_errors: float
    first_at: float
    late: float


class SampleWindow:
    """The latest samples of an upstream."""

    def __init__(self) -> None:
        self._samples: deque[Sample] = deque(maxlen=MAX_SAMPLES)

    def __len__(self) -> int:
        return len(self._samples)

    def add(self, sample: Sample) -> None:
        """Add a sample."""
        self._samples.append(sample)

    def clear(self) -> None:
        """Drop all samples."""
        self._samples.clear()

    def expire(self, now: float) -> None:
        """Drop the samples that are too old to be used."""
        kept = max(SAMPLE_SECONDS, SAMPLE_CYCLES * self._mean_seconds())
        while self._samples and self._samples[0].at < now - kept:
            self._samples.popleft()

    def age(self, now: float) -> float | None:
        """Return the seconds since the last sample, None without any."""
        return now - self._samples[-1].at if self._samples else None

    def usual_seconds(self, level: int) -> float:
        """Return the median time of a request at a level or below."""
        found = sorted(s.seconds for s in self._samples if s.in_flight < level + 1)
        return found[len(found) // 2] if found else 0.0

    def group(
        self,
        level: int,
        now: float,
        other: int | None = None,
        since: float = -math.inf,
    ) -> SampleGroup:
        """Return the samples of a level, those nearer to it than to another one."""
        chosen = [
            sample
            for sample in self._samples
            if sample.at > since and is_near(sample.in_flight, level, other)
        ]
        if not chosen:
            return SampleGroup(0, 0.0, math.log(level), 0.0, now, 0.0)
        count = len(chosen)
        ratios = [sample.log_ratio for sample in chosen]
        mean = sum(ratios) / count
        return SampleGroup(
            count,
            mean,
            sum(sample.log_in_flight for sample in chosen) / count,
            sum((ratio - mean) ** 2 for ratio in ratios),
            chosen[0].at,
            sum(sample.seconds > sample.allowed for sample in chosen) / count,
        )

    def lower_half_ratio(
        self, level: int, now: float, count: int, seconds: float
    ) -> float | None:
        """Return the mean ratio of the faster half of the samples of a level.

        The ratio is that of seconds per expected second. Return None if there are fewer
        than count samples, or none that is older than some seconds.
        """
        chosen = [s for s in self._samples if is_near(s.in_flight, level, None)]
        if len(chosen) < count or now - chosen[0].at < seconds:
            return None
        ratios = sorted(sample.log_ratio for sample in chosen)
        lower_half = ratios[: len(ratios) // 2]
        return math.exp(sum(lower_half) / len(lower_half))

    def _mean_seconds(self) -> float:
        if not self._samples:
            return 0.0
        return sum(sample.seconds for sample in self._samples) / len(self._samples)


def is_near(in_flight: float, level: int, other: int | None) -> bool:
    """Return whether a number in flight belongs to a level rather than another."""
    if other is None:
        return abs(in_flight - level) <= max(0.5, 0.15 * level)
    middle = (level + other) / 2
    return in_flight >= middle if level > other else in_flight < middle


def standard_error(one: SampleGroup, other: SampleGroup) -> float:
    """Return the standard error of the difference of the mean ratios."""
    squares = one.squared_errors + other.squared_errors
    squares += PRIOR_SAMPLES * PRIOR_DEVIATION**2
    variance = squares / (PRIOR_SAMPLES + one.count + other.count)
    return math.sqrt(variance * (1 / one.count + 1 / other.count))
