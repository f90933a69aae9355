"""Limits of workspaces, enforced by the owner of a pool over all entry hosts."""

from bitterntiller.components.dispatch.models import WorkspaceLimits

NO_LIMITS = WorkspaceLimits()


class _Usage:
    __slots__ = ("filled_at", "in_flight", "tokens", "waiting")

    def __init__(self, tokens: float, now: float) -> None:
        self.in_flight = 0
        self.waiting = 0
        self.tokens = tokens
        self.filled_at = now


class WorkspaceLimiter:
    """Tracks the requests in flight and the request rate of each workspace."""

    def __init__(self) -> None:
        self._limits_by_workspace: dict[str, WorkspaceLimits] = {}
        self._usage_by_workspace: dict[str, _Usage] = {}

    def set_limits(self, limits_by_workspace: dict[str, WorkspaceLimits]) -> None:
        """Apply new limits; requests in flight stay counted."""
        self._limits_by_workspace = dict(limits_by_workspace)

    def share(self, workspace: str) -> float:
        """Return the fair-share weight of a workspace in its tier."""
        return max(self._limits_by_workspace.get(workspace, NO_LIMITS).share, 0.001)

    def concurrency(self, workspace: str) -> int | None:
        """Return the concurrency limit of a workspace, None without one."""
        return self._limits_by_workspace.get(workspace, NO_LIMITS).concurrency

    def at_concurrency_limit(self, workspace: str) -> bool:
        """Return whether a workspace has reached its concurrency limit."""
        limit = self.concurrency(workspace)
        if limit is None:
            return False
        usage = self._usage_by_workspace.get(workspace)
        return usage is not None and usage.in_flight >= limit

    def acquire_rate(self, workspace: str, now: float) -> float:
        """Take one request from the token bucket; return seconds to wait, 0 if taken.

        The bucket holds the requests of one second, and at least one request.
        """
        rate = self._limits_by_workspace.get(workspace, NO_LIMITS).rate
        if rate is None:
            return 0.0
        burst = max(rate, 1.0)
        usage = self._usage_of(workspace, now)
        refill = (now - usage.filled_at) * rate
        usage.tokens = min(burst, usage.tokens + refill)
        usage.filled_at = now
        if usage.tokens >= 1.0:
            usage.tokens -= 1.0
            return 0.0
        return (1.0 - usage.tokens) / max(rate, 0.001)

    def rate_wait(self, workspace: str, now: float) -> float:
        """Return the seconds until the rate allows a request, without taking it."""
        rate = self._limits_by_workspace.get(workspace, NO_LIMITS).rate
        usage = self._usage_by_workspace.get(workspace)
        if rate is None or usage is None:
            return 0.0
        refilled = usage.tokens + (now - usage.filled_at) * rate
        tokens = min(max(rate, 1.0), refilled)
        return max(0.0, 1.0 - tokens) / max(rate, 0.001)

    def start_request(self, workspace: str, now: float) -> None:
        """Count a request as in flight."""
        self._usage_of(workspace, now).in_flight += 1

    def finish_request(self, workspace: str) -> None:
        """Count a request as no longer in flight."""
        usage = self._usage_by_workspace[workspace]
        usage.in_flight -= 1
        self._drop_if_idle(workspace, usage)

    def add_waiting(self, workspace: str, count: int, now: float) -> None:
        """Change the number of waiting requests by count."""
        usage = self._usage_of(workspace, now)
        usage.waiting += count
        self._drop_if_idle(workspace, usage)

    def waiting(self, workspace: str) -> int:
        """Return the number of waiting requests of a workspace."""
        usage = self._usage_by_workspace.get(workspace)
        return 0 if usage is None else usage.waiting

    def in_flight(self, workspace: str) -> int:
        """Return the number of requests of a workspace in flight."""
        usage = self._usage_by_workspace.get(workspace)
        return 0 if usage is None else usage.in_flight

    def _drop_if_idle(self, workspace: str, usage: _Usage) -> None:
        """Drop the counts of an idle workspace, which bounds the size of the mapping.

        The token bucket of a rate limit is kept; otherwise a workspace could refill it
        by pausing for a moment.
        """
        limits = self._limits_by_workspace.get(workspace, NO_LIMITS)
        if not usage.in_flight and not usage.waiting and limits.rate is None:
            del self._usage_by_workspace[workspace]

    def _usage_of(self, workspace: str, now: float) -> _Usage:
        usage = self._usage_by_workspace.get(workspace)
        if usage is None:
            rate = self._limits_by_workspace.get(workspace, NO_LIMITS).rate or 0.0
            usage = _Usage(max(rate, 1.0), now)
            self._usage_by_workspace[workspace] = usage
        return usage
