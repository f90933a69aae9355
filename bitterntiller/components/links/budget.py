"""Limits in bytes of what the links of a process hold, derived from its memory."""

from bitterntiller.components.links.const import SMALL_CALL_BYTES
from bitterntiller.components.settings.models import Limits


class LinkBudget:
    """Bytes that all connections queue for peers, and of peers' calls handled now.

    One connection may queue max_connection_bytes, unless all of them together hold
    max_queued_bytes; then each has an even share, so that peers that don't read take
    no room from the others.
    """

    def __init__(self, limits: Limits) -> None:
        self.max_queued_bytes = limits.memory_bytes // 8
        self.max_connection_bytes = limits.memory_bytes // 32
        self.max_calls_bytes = limits.memory_bytes // 16
        self.queued_bytes = 0
        self.calls_bytes = 0
        self.connections = 0

    def may_queue(self, queued: int, size: int) -> bool:
        """Return whether a connection that queues some bytes may queue size more.

        A frame is always queued where none waits, however large it is.
        """
        if not queued:
            return True
        if queued + size > self.max_connection_bytes:
            return False
        if self.queued_bytes + size <= self.max_queued_bytes:
            return True
        return queued + size <= self.max_queued_bytes // max(1, self.connections)

    def may_call(self, size: int) -> bool:
        """Return whether a peer's call may be handled beside those handled now."""
        if size <= SMALL_CALL_BYTES or not self.calls_bytes:
            return True
        return self.calls_bytes + size <= self.max_calls_bytes
