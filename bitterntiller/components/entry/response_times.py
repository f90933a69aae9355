"""Response times of services, and the timeouts derived from them."""

import math

SMOOTHING = 0.05
"""Weight of one response in the moving mean, which covers about 20 responses."""

MIN_RESPONSES = 20
"""Responses of a service before its response times count as known."""

MIN_SECONDS = 0.001
DEVIATIONS = 2.0
"""Mean deviations above the mean logarithm for the estimate of the 95th percentile:
with typical response times, 19 of 20 responses take less."""


class _Times:
    """Moving mean and mean deviation of the logarithm of response times in seconds."""

    __slots__ = ("count", "deviation", "mean")

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0
        self.deviation = 0.0

    def record(self, seconds: float) -> None:
        value = math.log(max(seconds, MIN_SECONDS))
        self.count += 1
        gain = max(1 / self.count, SMOOTHING)
        self.deviation += gain * (abs(value - self.mean) - self.deviation)
        self.mean += gain * (value - self.mean)


class ResponseTimes:
    """Seconds until the head of a response, by service, of received responses."""

    def __init__(self) -> None:
        self._times_by_service: dict[str, _Times] = {}

    def record(self, service: str, seconds: float) -> None:
        """Record the response time of a service in seconds."""
        self._times_by_service.setdefault(service, _Times()).record(seconds)

    def p95_estimate(self, service: str) -> float | None:
        """Return an estimate of the 95th percentile in seconds, None if unknown."""
        times = self._times_by_service.get(service)
        if times is None or times.count < MIN_RESPONSES:
            return None
        return math.exp(times.mean + DEVIATIONS * times.deviation)

    def attempt_timeout(self, service: str, objective: float) -> float | None:
        """Return the seconds until a call is sent to another upstream, None if unknown.

        Long enough for nearly all responses, and otherwise short enough for another
        upstream to respond within the objective.
        """
        p95_estimate = self.p95_estimate(service)
        if p95_estimate is None:
            return None
        return max(p95_estimate, objective - p95_estimate)
