"""Passive health checks: failing upstreams are found in seconds, paused and probed."""

FAILURES_TO_UNHEALTHY = 3
FIRST_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 10.0


class Health:
    """Counts consecutive failures; an unhealthy upstream pauses, then gets one probe.

    A probe is a single regular request. The pause doubles with every failed probe, up
    to MAX_PAUSE_SECONDS. One successful response ends it, and so does output of a
    running request if all failures were without a response.
    """

    __slots__ = ("_failures", "_pause", "_responded", "paused_until", "unhealthy")

    def __init__(self) -> None:
        self.unhealthy = False
        self.paused_until = 0.0
        self._failures = 0
        self._pause = FIRST_PAUSE_SECONDS
        self._responded = False

    def record_failure(
        self, now: float, certain: bool = False, responded: bool = False
    ) -> bool:
        """Record a failure; return True if the upstream has become unhealthy by it.

        certain is set for a failure that needs no confirmation by further ones, such as
        a refused connection, and responded if the upstream's response was the failure.
        """
        self._failures += 1
        self._responded = self._responded or responded
        if self.unhealthy:
            if now >= self.paused_until:
                self._pause = min(self._pause * 2, MAX_PAUSE_SECONDS)
                self.paused_until = now + self._pause
            return False
        if not certain and self._failures < FAILURES_TO_UNHEALTHY:
            return False
        self.unhealthy = True
        self.paused_until = now + self._pause
        return True

    def record_success(self) -> None:
        """Record a successful response."""
        self.unhealthy = False
        self._responded = False
        self.paused_until = 0.0
        self._failures = 0
        self._pause = FIRST_PAUSE_SECONDS

    def record_output(self) -> bool:
        """Record output of a running request; return True if that ends the pause."""
        if self._responded:
            return False
        ended = self.unhealthy
        self.record_success()
        return ended

    def allows_request(self, in_flight: int, now: float) -> bool:
        """Return whether the upstream may get one more request."""
        if not self.unhealthy:
            return True
        return now >= self.paused_until and in_flight == 0
