"""Limits requests to an upstream to the rate that its responses state; no I/O."""

BURST_SECONDS = 1.0
"""Seconds of unused limit that the bucket can accumulate."""

MIN_RATE = 0.1
"""Minimum requests per second that are sent at any limit. Without any response the
owner would not detect the end of the limit."""


class UpstreamRateLimiter:
    """A token bucket over all entry hosts, unlimited until a limit is reported.

    limit is in requests per second. The bucket starts empty, since requests granted
    before the limit was reported are on their way.
    """

    __slots__ = ("_filled_at", "_updated_at", "_tokens", "limit")

    def __init__(self) -> None:
        self.limit: float | None = None
        self._updated_at = float("-inf")
        self._tokens = 0.0
        self._filled_at = 0.0

    def update(self, limit: float | None, at: float, now: float) -> bool:
        """Apply the limit of a response that was given at a time, None for no limit.

        Return whether the limit changed. A response older than the newest known one is
        ignored, since responses reported by several hosts arrive in any order.
        """
        if at <= self._updated_at:
            return False
        self._updated_at = at
        if limit == self.limit:
            return False
        if self.limit is None:
            self._tokens = 0.0
        self._refill(now)
        self.limit = limit
        self._tokens = min(self._tokens, self._burst())
        return True

    def age(self, now: float) -> float:
        """Return the age of the newest known response, in seconds."""
        return now - self._updated_at

    def wait_seconds(self, now: float) -> float:
        """Return the seconds until one more request may be sent."""
        if self.limit is None:
            return 0.0
        self._refill(now)
        missing = 1.0 - self._tokens
        return 0.0 if missing <= _ROUNDING_ERROR else missing / self._rate()

    def acquire(self, now: float) -> None:
        """Take the token of a granted request."""
        if self.limit is None:
            return
        self._refill(now)
        self._tokens -= 1.0

    def sustained_concurrency(self, seconds: float) -> float:
        """Return the maximum concurrency of requests that take so many seconds each."""
        return float("inf") if self.limit is None else self._rate() * seconds

    def _rate(self) -> float:
        return max(self.limit or 0.0, MIN_RATE)

    def _burst(self) -> float:
        return max(1.0, self._rate() * BURST_SECONDS)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = now
        if self.limit is not None:
            self._tokens = min(self._burst(), self._tokens + elapsed * self._rate())


_ROUNDING_ERROR = 1e-9
"""Tolerance for floating-point errors of the accumulated tokens."""
