"""The configuration lease of a node."""

from bitterntiller.components.node.const import MAX_CLOCK_DRIFT
from bitterntiller.core.clock import Clock


class NodeLease:
    """Whether the node may accept and send requests, evaluated at the moment of use.

    It expires by comparison with the clock, not by a timer: a process that was frozen
    finds the lease expired at the first check, before it acts.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ends = float("-inf")
        self._superseded_until = float("inf")

    def valid(self) -> bool:
        """Return whether the lease is valid now."""
        return self.remaining() > 0

    def remaining(self) -> float:
        """Return the seconds that remain, 0 or less if the lease has expired."""
        return min(self._ends, self._superseded_until) - self._clock.now()

    def extend(self, sent_at: float, lease_ms: int) -> None:
        """Extend the lease by a grant for the heartbeat that was sent at sent_at.

        The lease starts when the heartbeat was sent, since the leader may have
        confirmed leadership at any time after that. Counted from the reply, a delayed
        reply would let the node use a configuration that was replaced long ago. It is
        shortened by the maximum drift, as this clock may run slower than the leader's.
        The configuration in force is the latest one again, which ends any limit.
        """
        self._superseded_until = float("inf")
        ends = sent_at + lease_ms / 1000 * (1 - MAX_CLOCK_DRIFT)
        self._ends = max(self._ends, ends)

    def limit(self, until: float) -> None:
        """End the lease at a time at the latest, until it is extended.

        For a node that knows of a newer configuration and does not have it yet.
        """
        self._superseded_until = min(self._superseded_until, until)
