"""Prefix cache of a stand-in engine."""

from collections import OrderedDict, deque
from typing import Any

import xxhash

SMALLEST_PREFIX_BYTES = 256


class PrefixCache:
    """LRU cache of prompt prefixes, whose lengths double from SMALLEST_PREFIX_BYTES."""

    def __init__(self, size: int, events: deque[dict[str, Any]]) -> None:
        self._size = size
        self._events = events
        self._sequence = 0
        self._hashes: OrderedDict[int, None] = OrderedDict()

    def lookup_and_store(self, prompt: bytes) -> int:
        """Return how many bytes of a prompt are cached, and store its prefixes."""
        cached, length = 0, SMALLEST_PREFIX_BYTES
        while length <= len(prompt):
            prefix_hash = xxhash.xxh3_64_intdigest(prompt[:length])
            if prefix_hash in self._hashes:
                cached = length
                self._hashes.move_to_end(prefix_hash)
            else:
                self._hashes[prefix_hash] = None
                self._append_event(prefix_hash, stored=True)
            length *= 2
        while len(self._hashes) > self._size:
            self._append_event(self._hashes.popitem(last=False)[0], stored=False)
        return cached

    def _append_event(self, prefix_hash: int, *, stored: bool) -> None:
        self._sequence += 1
        signed = prefix_hash - (1 << 64) if prefix_hash >> 63 else prefix_hash
        event = {"sequence": self._sequence, "stored": stored, "prefix_hash": signed}
        self._events.append(event)
