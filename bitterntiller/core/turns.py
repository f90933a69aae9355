"""Let other tasks run while a task reads from a peer whose bytes are always there."""

import curio

TURN_READS = 16
TURN_BYTES = 128 * 1024
"""Reads, or parsed parts of them, and bytes after which other tasks get a turn."""


class Turns:
    """Counts what one task reads, and gives way once it has had a turn.

    A read that finds data returns without a switch of tasks. A task whose peer never
    lets it wait would keep all others from running, and its own timeouts from ending
    it.
    """

    def __init__(self) -> None:
        self._reads = 0
        self._bytes = 0

    async def async_count(self, size: int, reads: int = 1) -> None:
        """Count reads of some bytes in all; let other tasks run if the turn is over."""
        self._reads += reads
        self._bytes += size
        if self._reads < TURN_READS and self._bytes < TURN_BYTES:
            return
        self._reads = self._bytes = 0
        await curio.sleep(0)
        # A timeout that expired meanwhile waits for the next switch, and an inner
        # timeout that begins and ends before that would drop it.
        await curio.check_cancellation()
