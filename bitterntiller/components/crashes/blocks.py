"""Requests and parts of prompts that an operator keeps from upstreams; no I/O."""

from collections.abc import Iterable

from bitterntiller.components.crashes import const
from bitterntiller.components.crashes.models import Block


class Blocks:
    """The newest block of each fingerprint; one of no duration ends an earlier one."""

    def __init__(self) -> None:
        self._by_fingerprint: dict[int, Block] = {}

    def __bool__(self) -> bool:
        """Return whether there may be any."""
        return bool(self._by_fingerprint)

    def __iter__(self) -> Iterable[Block]:
        """Return an iterator over all of them, also ended ones."""
        return iter(list(self._by_fingerprint.values()))

    def merge(self, blocks: Iterable[Block], now: float) -> tuple[Block, ...]:
        """Merge blocks; return the new ones."""
        return tuple(block for block in blocks if self._add(block, now))

    def seconds_left(self, fingerprint: int, now: float) -> float:
        """Return the seconds until a fingerprint is blocked no more, 0 if it isn't."""
        block = self._by_fingerprint.get(fingerprint)
        return 0.0 if block is None else max(0.0, block.ends - now)

    def is_newer(self, block: Block) -> bool:
        """Return whether a block is newer than the known one of its fingerprint.

        Its time differs a little between hosts. Of two at the same time the shorter one
        is taken for the newer: an order to end a block must not be lost.
        """
        known = self._by_fingerprint.get(block.fingerprint)
        if known is None or block.at > known.at + const.TIME_TOLERANCE:
            return True
        if block.at < known.at - const.TIME_TOLERANCE:
            return False
        return block.seconds < known.seconds

    def expire(self, now: float) -> None:
        """Drop those that have ended and are too old to undo a late message."""
        for block in list(self._by_fingerprint.values()):
            if now > max(block.ends, block.at + const.RETENTION_SECONDS):
                del self._by_fingerprint[block.fingerprint]

    def _add(self, block: Block, now: float) -> bool:
        if now > max(block.ends, block.at + const.RETENTION_SECONDS):
            return False
        if not self.is_newer(block):
            return False
        self._by_fingerprint[block.fingerprint] = block
        excess = len(self._by_fingerprint) - const.MAX_BLOCKS
        if excess > 0:
            oldest = min(self._by_fingerprint.values(), key=lambda item: item.at)
            del self._by_fingerprint[oldest.fingerprint]
        return True
