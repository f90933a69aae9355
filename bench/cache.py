"""The prefix cache of the engine model."""

from collections import OrderedDict

from bench.arrivals import prefix_tokens
from bitterntiller.components.dispatch.models import CacheChange


class PrefixCache:
    """An LRU cache of prompt prefixes with a limited number of tokens.

    Each entry counts the tokens by which its prefix is longer than the one before it.
    changes collects the cache events that the engine will publish.
    """

    def __init__(self, tokens: int) -> None:
        self._limit = tokens
        self._tokens = 0
        self._tokens_by_hash: OrderedDict[int, int] = OrderedDict()
        self._sequence = 0
        self.changes: list[CacheChange] = []

    def cached_tokens(self, prefix_hashes: tuple[int, ...]) -> int:
        """Return the length in tokens of the longest cached one of these prefixes."""
        for level in range(len(prefix_hashes) - 1, -1, -1):
            if prefix_hashes[level] in self._tokens_by_hash:
                return prefix_tokens(level)
        return 0

    def store(self, prefix_hashes: tuple[int, ...]) -> None:
        """Store these prefixes, the shortest one as the most recently used."""
        for level in range(len(prefix_hashes) - 1, -1, -1):
            self._store(prefix_hashes[level], level)
        while self._tokens > self._limit:
            prefix_hash, tokens = self._tokens_by_hash.popitem(last=False)
            self._tokens -= tokens
            self._publish(False, prefix_hash)

    def _store(self, prefix_hash: int, level: int) -> None:
        if prefix_hash in self._tokens_by_hash:
            self._tokens_by_hash.move_to_end(prefix_hash)
            return
        shorter = prefix_tokens(level - 1) if level else 0
        tokens = prefix_tokens(level) - shorter
        self._tokens_by_hash[prefix_hash] = tokens
        self._tokens += tokens
        self._publish(True, prefix_hash)

    def _publish(self, stored: bool, prefix_hash: int) -> None:
        self._sequence += 1
        self.changes.append(CacheChange(self._sequence, stored, prefix_hash))
