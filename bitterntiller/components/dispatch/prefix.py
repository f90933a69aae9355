"""Tracks which prompt prefixes the caches of upstreams probably hold."""

from collections import OrderedDict
from collections.abc import Sequence

from bitterntiller.components.dispatch.const import FIRST_PREFIX_TOKENS
from bitterntiller.components.dispatch.models import CacheChange

REMOVAL_LAG_SECONDS = 3.0
UNCERTAIN_WEIGHT = 0.5
INITIAL_CAPACITY_FRACTION = 0.5
CAPACITY_FRACTION_GAIN = 0.05
TRUST_GAIN = 0.1
MIN_TRUST = 0.2


def prefix_tokens(level: int) -> int:
    """Return the approximate tokens of a prefix level, which double per level."""
    return FIRST_PREFIX_TOKENS << level


class _CachedPrefix:
    __slots__ = ("at", "tokens")

    def __init__(self, tokens: int, at: float) -> None:
        self.tokens = tokens
        self.at = at


class PrefixCache:
    """Prefixes in the cache of one upstream, with least-recently-used eviction."""

    def __init__(self, name: str, index: "PrefixIndex") -> None:
        self.name = name
        self.trust = 1.0
        self._index = index
        self._cached_by_hash: OrderedDict[int, _CachedPrefix] = OrderedDict()
        self._tokens = 0
        self._sequence: int | None = None
        self._uncertain_before = 0.0
        self._capacity_fraction = INITIAL_CAPACITY_FRACTION
        self._capacity = 0

    def cached_tokens(
        self, hashes: Sequence[int], prompt_tokens: int, lengths: Sequence[int] = ()
    ) -> int:
        """Return the number of prompt tokens expected in the cache.

        lengths are the token counts of the prefixes, if known.
        """
        cached_by_hash = self._cached_by_hash
        if not cached_by_hash:
            return 0
        for level in range(len(hashes) - 1, -1, -1):
            cached_prefix = cached_by_hash.get(hashes[level])
            if cached_prefix is None:
                continue
            weight = (
                UNCERTAIN_WEIGHT if cached_prefix.at < self._uncertain_before else 1.0
            )
            known = lengths[level] if lengths else prefix_tokens(level)
            tokens = min(known, prompt_tokens)
            return int(tokens * weight * self.trust)
        return 0

    def add(
        self,
        hashes: Sequence[int],
        capacity: int,
        now: float,
        lengths: Sequence[int] = (),
    ) -> None:
        """Add the prefixes of a prompt that was sent to the upstream."""
        for level, prefix_hash in enumerate(hashes):
            own_tokens = lengths[level] if lengths else prefix_tokens(level)
            if level:
                own_tokens -= (
                    lengths[level - 1] if lengths else prefix_tokens(level - 1)
                )
            self._touch(prefix_hash, own_tokens, now)
        self._capacity = capacity
        while (
            self._tokens > capacity * self._capacity_fraction and self._cached_by_hash
        ):
            self._drop(next(iter(self._cached_by_hash)))

    def update_trust(self, expected: int, cached: int) -> None:
        """Compare the expected cached tokens with those that the upstream reported."""
        if expected <= 0:
            return
        ratio = min(cached * self.trust / expected, 1.0)
        self.trust += TRUST_GAIN * (ratio - self.trust)
        self.trust = max(self.trust, MIN_TRUST)

    def apply_changes(self, changes: Sequence[CacheChange], now: float) -> None:
        """Apply cache events, which are delayed and may have gaps.

        A gap may have contained removals, so prefixes added before it count half from
        then on. A removal reported shortly after a dispatch is ignored: it is older
        than the dispatch, which has stored the prefix again.
        """
        for change in changes:
            expected = self._sequence
            if expected is not None and change.sequence <= expected:
                continue
            if expected is not None and change.sequence > expected + 1:
                self._uncertain_before = now
            self._sequence = change.sequence
            self._apply_change(change, now)

    def clear(self) -> None:
        """Remove all prefixes, after a restart or the removal of the upstream."""
        for prefix_hash in list(self._cached_by_hash):
            self._drop(prefix_hash)
        self._sequence = None
        self.trust = 1.0

    def _apply_change(self, change: CacheChange, now: float) -> None:
        if change.stored:
            self._touch(change.prefix_hash, FIRST_PREFIX_TOKENS, now)
            return
        cached_prefix = self._cached_by_hash.get(change.prefix_hash)
        if cached_prefix is not None and cached_prefix.at < now - REMOVAL_LAG_SECONDS:
            self._learn_capacity_fraction()
            self._drop(change.prefix_hash)

    def _learn_capacity_fraction(self) -> None:
        """Learn the size of the cache, which is full when it removes a prefix."""
        if self._capacity <= 0:
            return
        seen = min(self._tokens / self._capacity, 1.0)
        self._capacity_fraction += CAPACITY_FRACTION_GAIN * (
            1.1 * seen - self._capacity_fraction
        )

    def _touch(self, prefix_hash: int, tokens: int, now: float) -> None:
        cached_prefix = self._cached_by_hash.get(prefix_hash)
        if cached_prefix is not None:
            cached_prefix.at = now
            self._cached_by_hash.move_to_end(prefix_hash)
            return
        self._cached_by_hash[prefix_hash] = _CachedPrefix(tokens, now)
        self._tokens += tokens
        self._index.add(prefix_hash, self.name)

    def _drop(self, prefix_hash: int) -> None:
        cached_prefix = self._cached_by_hash.pop(prefix_hash)
        self._tokens -= cached_prefix.tokens
        self._index.discard(prefix_hash, self.name)


class PrefixIndex:
    """Names of the upstreams that probably hold each prefix."""

    def __init__(self) -> None:
        self._names_by_hash: dict[int, dict[str, None]] = {}

    def add(self, prefix_hash: int, name: str) -> None:
        """Add an upstream that holds a prefix."""
        self._names_by_hash.setdefault(prefix_hash, {})[name] = None

    def discard(self, prefix_hash: int, name: str) -> None:
        """Remove an upstream that no longer holds a prefix."""
        names = self._names_by_hash.get(prefix_hash)
        if names is None:
            return
        names.pop(name, None)
        if not names:
            del self._names_by_hash[prefix_hash]

    def longest_match(self, hashes: Sequence[int]) -> tuple[int, dict[str, None]]:
        """Return the level and the upstreams of the longest cached prefix.

        The level is -1 and there are no upstreams if none is cached.
        """
        for level in range(len(hashes) - 1, -1, -1):
            names = self._names_by_hash.get(hashes[level])
            if names:
                return level, names
        return -1, {}
