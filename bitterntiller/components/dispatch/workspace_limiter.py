"""Limits of workspaces, counted by the owner over all entry hosts."""

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
    """Counts what each workspace has in flight and how fast it asks."""

    def __init__(self) -> None:
        self._limits_by_workspace: dict[str, WorkspaceLimits] = {}
        self._usage_by_workspace: dict[str, _Usage] = {}

    def set_limits(self, limits_by_workspace: dict[str, WorkspaceLimits]) -> None:
        """Put new limits in force; what is in flight stays counted."""
        self._limits_by_workspace = dict(limits_by_workspace)

    def share(self, workspace: str) -> float:
        """Return the weight of a workspace in its tier."""
        return max(self._limits_by_workspace.get(workspace, NO_LIMITS).share, 0.001)

    def concurrency(self, workspace: str) -> int | None:
        """Return how many requests of a workspace may be in flight."""
        return self._limits_by_workspace.get(workspace, NO_LIMITS).concurrency

    def at_concurrency_limit(self, workspace: str) -> bool:
        """Tell whether a workspace has all in flight that it may."""
        limit = self.concurrency(workspace)
        if limit is None:
            return False
        usage = self._usage_by_workspace.get(workspace)
        return usage is not None and usage.in_flight >= limit

    def acquire_rate(self, workspace: str, now: float) -> float:
        """Take one request from the rate; return the seconds to wait, 0 if taken.

        The bucket holds one second's worth, and at least one request.
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

    def start_request(self, workspace: str, now: float) -> None:
        """Count a request in flight."""
        self._usage_of(workspace, now).in_flight += 1

    def finish_request(self, workspace: str) -> None:
        """Count one request in flight less."""
        usage = self._usage_by_workspace[workspace]
        usage.in_flight -= 1
        self._drop_if_idle(workspace, usage)

    def add_waiting(self, workspace: str, count: int, now: float) -> None:
        """Count requests that wait."""
        usage = self._usage_of(workspace, now)
        usage.waiting += count
        self._drop_if_idle(workspace, usage)

    def waiting(self, workspace: str) -> int:
        """Return how many requests of a workspace wait."""
        usage = self._usage_by_workspace.get(workspace)
        return 0 if usage is None else usage.waiting

    def in_flight(self, workspace: str) -> int:
        """Return how many requests of a workspace are in flight."""
        usage = self._usage_by_workspace.get(workspace)
        return 0 if usage is None else usage.in_flight

    def _drop_if_idle(self, workspace: str, usage: _Usage) -> None:
        """Drop the count of an idle workspace, so that the mapping stays small.

        The fill of a bucket must be kept, or a workspace could refill it by
        pausing for a moment.
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
