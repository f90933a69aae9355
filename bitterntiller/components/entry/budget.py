"""Limits on the resources that callers occupy on a host: connections and memory."""

from collections import Counter

from bitterntiller.components.entry.models import IdentifiedRequest
from bitterntiller.components.settings.models import Limits
from bitterntiller.core.outcomes import Ending, Outcome, Reason


class HostBudget:
    """Tracks occupied resources and refuses lower tiers before higher ones.

    The last reserved_fraction of the bytes is reserved for the highest tier; each tier
    in between may use an evenly graded part of it. So a burst of low-tier bodies can't
    block a high-tier request.
    """

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._requests_by_workspace: Counter[str] = Counter()
        self.held_bytes = 0

    def reserve(
        self, identified: IdentifiedRequest, size: int, rank_index: int, ranks: int
    ) -> Ending | None:
        """Reserve size bytes for a body; return a refusal if they aren't available.

        rank_index is the position of the tier among all ranks, 0 for the highest.
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
        """Return the number of occupied bytes up to which a tier is admitted."""
        if ranks < 2:
            return self._limits.waiting_bytes
        reserved = self._limits.reserved_fraction * rank_index / (ranks - 1)
        return self._limits.waiting_bytes * (1 - reserved)

    def shrink(self, size: int, used: int) -> int:
        """Release what reserve() took beyond the used size of a body; return that size.

        The length of a chunked body isn't known in advance, so it reserves the maximum.
        """
        self.held_bytes -= size - used
        return used

    def release(self, identified: IdentifiedRequest, size: int) -> None:
        """Release what reserve() took."""
        name = identified.workspace.name
        self._requests_by_workspace[name] -= 1
        if not self._requests_by_workspace[name]:
            del self._requests_by_workspace[name]
        self.held_bytes -= size

    def requests_by_workspace(self) -> dict[str, int]:
        """Return the number of requests of each workspace, for the state dump."""
        return dict(self._requests_by_workspace)


def _full(reason: Reason, status: int) -> Ending:
    return Ending(Outcome.NOT_RUN, reason, status, retry_after=1.0)
