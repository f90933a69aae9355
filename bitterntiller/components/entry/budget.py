"""Limits on the resources that callers occupy on a host: connections and memory."""

from collections import Counter
from typing import Self

from bitterntiller.components.entry.models import IdentifiedRequest
from bitterntiller.components.settings.models import Limits
from bitterntiller.core.outcomes import Ending, Outcome, Reason


class BodyReservation:
    """The memory of one request's body, released when the context exits.

    size is in bytes; refusal is the ending for the caller once there was too little.
    """

    def __init__(self, budget: "HostBudget", workspace: str, allowed: float) -> None:
        self._budget = budget
        self._workspace = workspace
        self._allowed = allowed
        self.size = 0
        self.refusal: Ending | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *details: object) -> None:
        self._budget.release(self._workspace, self.size)

    def grow_to(self, size: int) -> bool:
        """Reserve up to size bytes in total; return False if they aren't available."""
        more = size - self.size
        if more <= 0:
            return True
        if self._budget.held_bytes + more > self._allowed:
            self.refusal = _full(Reason.HOST_FULL, 503)
            return False
        self._budget.held_bytes += more
        self.size = size
        return True


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
    ) -> BodyReservation | Ending:
        """Reserve size bytes for a body; return a refusal if they aren't available.

        size is 0 for a body of unknown length, whose reservation grows as it arrives.
        rank_index is the position of the tier among all ranks, 0 for the highest.
        """
        name = identified.workspace.name
        limits = self._limits
        if self._requests_by_workspace[name] >= limits.connections_per_workspace:
            return _full(Reason.TOO_MANY_CONNECTIONS, 429)
        allowed = self.allowed_bytes(rank_index, ranks)
        reservation = BodyReservation(self, name, allowed)
        if self.held_bytes > allowed or not reservation.grow_to(size):
            return _full(Reason.HOST_FULL, 503)
        self._requests_by_workspace[name] += 1
        return reservation

    def allowed_bytes(self, rank_index: int, ranks: int) -> float:
        """Return the number of occupied bytes up to which a tier is admitted."""
        if ranks < 2:
            return self._limits.waiting_bytes
        reserved = self._limits.reserved_fraction * rank_index / (ranks - 1)
        return self._limits.waiting_bytes * (1 - reserved)

    def release(self, name: str, size: int) -> None:
        """Release a reservation of a workspace of that name."""
        self._requests_by_workspace[name] -= 1
        if not self._requests_by_workspace[name]:
            del self._requests_by_workspace[name]
        self.held_bytes -= size

    def requests_by_workspace(self) -> dict[str, int]:
        """Return the number of requests of each workspace, for the state dump."""
        return dict(self._requests_by_workspace)


def _full(reason: Reason, status: int) -> Ending:
    return Ending(Outcome.NOT_RUN, reason, status, retry_after=1.0)
