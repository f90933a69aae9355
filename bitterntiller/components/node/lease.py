"""The configuration lease of a node."""

from bitterntiller.components.node.const import MAX_CLOCK_DRIFT
from bitterntiller.core.clock import Clock


class NodeLease:
    """Tells at the moment of use whether the node may take and send work.

    No timer ends it: a process that was frozen finds the lease ended by the
    first look at the clock, before it does anything with it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ends = float("-inf")

    def valid(self) -> bool:
        """Tell whether the lease runs now."""
        return self._clock.now() < self._ends

    def remaining(self) -> float:
        """Return the seconds that are left, 0 or less when it has ended."""
        return self._ends - self._clock.now()

    def extend(self, sent_at: float, lease_ms: int) -> None:
        """Extend the lease by a grant for a heartbeat sent at a time.

        Counted from the sending, since the leader may have confirmed its lead
        at any moment after that: counted from the reply, a delayed reply would
        let the node work on under a configuration replaced long ago. Shortened
        by the drift, because this clock may run slower than the leader's.
        """
        ends = sent_at + lease_ms / 1000 * (1 - MAX_CLOCK_DRIFT)
        self._ends = max(self._ends, ends)
