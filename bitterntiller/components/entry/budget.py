"""What callers may make this host hold: connections and bytes of waiting bodies."""

from collections import Counter

from bitterntiller.components.entry.models import IdentifiedRequest
from bitterntiller.components.settings.models import Limits
from bitterntiller.core.outcomes import Ending, Outcome, Reason


class HostBudget:
    """Counts what is held, and refuses lower tiers before higher ones.

    The last reserved_fraction of the bytes is kept for the highest tier; each
    tier in between may use its even part of it. A burst of low-tier bodies can
    then not keep a high-tier request out.
    """

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._requests_by_workspace: Counter[str] = Counter()
        self.held_bytes = 0

    def reserve(
        self, identified: IdentifiedRequest, size: int, rank_index: int, ranks: int
    ) -> Ending | None:
        """Reserve room for a body of size bytes, or tell why there is none.

        rank_index counts the tiers from the most important, 0, of ranks in all.
        """
        name = identified.workspace.name
        limits = self._limits
        if self._requests_by_workspace[name] >= limits.connections_per_workspace:
            return _full(Reason.TOO_MANY_CONNECTIONS, 429)
        if self.held_bytes + size > self.allowed_bytes(rank_index, ranks):
            return _full(Reason.HOST_FULL, 503)
        self._requests_by_workspace[name] += 1
        self.held_bytes += size
        return None

    def allowed_bytes(self, rank_index: int, ranks: int) -> float:
        """Return the bytes up to which a tier may fill the host."""
        if ranks < 2:
            return self._limits.waiting_bytes
        kept = self._limits.reserved_fraction * rank_index / (ranks - 1)
        return self._limits.waiting_bytes * (1 - kept)

    def shrink(self, size: int, used: int) -> int:
        """Give back what take() reserved beyond a body's real size; return that.

        A body in chunks tells no length, and reserves the greatest one.
        """
        self.held_bytes -= size - used
        return used

    def release(self, identified: IdentifiedRequest, size: int) -> None:
        """Give back what take() reserved."""
        name = identified.workspace.name
        self._requests_by_workspace[name] -= 1
        if not self._requests_by_workspace[name]:
            del self._requests_by_workspace[name]
        self.held_bytes -= size

    def requests_by_workspace(self) -> dict[str, int]:
        """Return how many requests each workspace has here, for the dump."""
        return dict(self._requests_by_workspace)


def _full(reason: Reason, status: int) -> Ending:
    return Ending(Outcome.NOT_RUN, reason, status, retry_after=1.0)
