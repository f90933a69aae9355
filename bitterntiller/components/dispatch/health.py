"""Which upstreams are sick: found within seconds, probed, taken back."""

import math

FAILURES_TO_SICK = 3
FIRST_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 10.0

RATE_GAIN = 0.1
"""Part by which one answer moves the part of failures; ten answers tell of it."""

RATE_SECONDS = 10.0
"""Seconds without an answer after which a third of the part of failures is left: an
upstream that is passed over gets work again."""


class Health:
    """Counts failures in a row; a sick upstream pauses, then gets one probe.

    The pause doubles with every failed probe. One good answer ends it. An upstream that
    fails a part of its requests is never sick by that; its part of failures counts
    against it where another one has room.
    """

    __slots__ = ("_failures", "_pause", "_rate", "_rate_at", "paused_until", "sick")

    def __init__(self) -> None:
        self.sick = False
        self.paused_until = 0.0
        self._failures = 0
        self._pause = FIRST_PAUSE_SECONDS
        self._rate = 0.0
        self._rate_at = 0.0

    def failure(self, now: float, certain: bool = False) -> bool:
        """Note a failure; return True when the upstream has become sick.

        certain is a failure that more tries can't explain away, such as a
        refused connection.
        """
        self._failures += 1
        self._note(1.0, now)
        if self.sick:
            if now >= self.paused_until:
                self._pause = min(self._pause * 2, MAX_PAUSE_SECONDS)
                self.paused_until = now + self._pause
            return False
        if not certain and self._failures < FAILURES_TO_SICK:
            return False
        self.sick = True
        self.paused_until = now + self._pause
        return True

    def failing(self, now: float) -> float:
        """Return the part of its requests that an upstream failed of late."""
        return self._rate * math.exp((self._rate_at - now) / RATE_SECONDS)

    def success(self, now: float) -> None:
        """Note a good answer."""
        self._note(0.0, now)
        self._end_pause()

    def forget(self) -> None:
        """Forget all; the upstream was started anew."""
        self._rate = 0.0
        self._end_pause()

    def _note(self, failed: float, now: float) -> None:
        rate = self.failing(now)
        self._rate = rate + RATE_GAIN * (failed - rate)
        self._rate_at = now

    def _end_pause(self) -> None:
        self.sick = False
        self.paused_until = 0.0
        self._failures = 0
        self._pause = FIRST_PAUSE_SECONDS

    def allowed(self, in_flight: int, now: float) -> bool:
        """Tell whether the upstream may be given one more request."""
        if not self.sick:
            return True
        return now >= self.paused_until and in_flight == 0
