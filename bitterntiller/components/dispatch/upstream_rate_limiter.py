"""Paces what is sent to an upstream by the limit that its answers name; pure."""

BURST_SECONDS = 1.0
"""For how long an unused limit can be saved up."""

MIN_RATE = 0.1
"""Requests a second that are sent all the same: without any answer nothing would tell
that the limit has ended."""


class UpstreamRateLimiter:
    """A token bucket over all entry hosts, without bound until a limit is named.

    limit is in requests a second. The bucket begins empty: what was granted before the
    limit was heard of is on its way.
    """

    __slots__ = ("_filled_at", "_updated_at", "_tokens", "limit")

    def __init__(self) -> None:
        self.limit: float | None = None
        self._updated_at = float("-inf")
        self._tokens = 0.0
        self._filled_at = 0.0

    def update(self, limit: float | None, at: float, now: float) -> bool:
        """Take what an answer of the time at named, None for no limit.

        Tell whether it is a change. An answer that is older than the last one heard
        changes nothing: answers of several hosts arrive in any order.
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
        """Return how long ago the newest answer was given that was heard of."""
        return now - self._updated_at

    def wait_seconds(self, now: float) -> float:
        """Return the seconds until one more request may be sent."""
        if self.limit is None:
            return 0.0
        self._refill(now)
        missing = 1.0 - self._tokens
        return 0.0 if missing <= _ROUNDING_ERROR else missing / self._rate()

    def acquire(self, now: float) -> None:
        """Count a request that is granted."""
        if self.limit is None:
            return
        self._refill(now)
        self._tokens -= 1.0

    def sustained_concurrency(self, seconds: float) -> float:
        """Return how many requests of so many seconds each run at once at most."""
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
"""By how much a sum of parts may differ from the whole."""
