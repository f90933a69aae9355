"""How long a service takes to answer, and how long to wait for it."""

import math

SMOOTHING = 0.05
"""Part by which one answer moves the mean: some twenty answers are remembered."""

MIN_RESPONSES = 20
"""Answers of a service until its times are known."""

MIN_SECONDS = 0.001
DEVIATIONS = 2.0
"""Mean deviations above the mean, in logarithms, that an answer may take: with usual
times of answers, nineteen of twenty take less."""


class _Times:
    """Mean and mean deviation of the logarithm of seconds."""

    __slots__ = ("count", "deviation", "mean")

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0
        self.deviation = 0.0

    def note(self, seconds: float) -> None:
        value = math.log(max(seconds, MIN_SECONDS))
        self.count += 1
        gain = max(1 / self.count, SMOOTHING)
        self.deviation += gain * (abs(value - self.mean) - self.deviation)
        self.mean += gain * (value - self.mean)


class ResponseTimes:
    """The seconds to the head of an answer, by service, of answers that came."""

    def __init__(self) -> None:
        self._times_by_service: dict[str, _Times] = {}

    def note(self, service: str, seconds: float) -> None:
        """Note the seconds after which a service answered."""
        self._times_by_service.setdefault(service, _Times()).note(seconds)

    def p95_estimate(self, service: str) -> float | None:
        """Return the seconds within which nearly all answers come, None if unknown."""
        times = self._times_by_service.get(service)
        if times is None or times.count < MIN_RESPONSES:
            return None
        return math.exp(times.mean + DEVIATIONS * times.deviation)

    def attempt_timeout(self, service: str, objective: float) -> float | None:
        """Return how long to wait before a call is sent to another upstream as well.

        Long enough for nearly all answers, and so short that another upstream can
        still answer within the objective. None if the times aren't known.
        """
        p95_estimate = self.p95_estimate(service)
        if p95_estimate is None:
            return None
        return max(p95_estimate, objective - p95_estimate)
