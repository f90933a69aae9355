"""Which upstream probably holds which prompt prefix in its cache."""

from collections import OrderedDict
from collections.abc import Sequence

from bitterntiller.components.dispatch.const import FIRST_PREFIX_TOKENS
from bitterntiller.components.dispatch.models import CacheChange

RECENT_SECONDS = 3.0
DOUBTFUL_WEIGHT = 0.5
CACHE_SHARE = 0.5
CAPACITY_GAIN = 0.05
TRUST_GAIN = 0.1
MIN_TRUST = 0.2


def prefix_tokens(level: int) -> int:
    """Return about how many tokens the prefix of a level has; each doubles."""
    return FIRST_PREFIX_TOKENS << level


class _Held:
    __slots__ = ("at", "tokens")

    def __init__(self, tokens: int, at: float) -> None:
        self.tokens = tokens
        self.at = at


class PrefixCache:
    """What one upstream probably holds: least recently used goes first."""

    def __init__(self, name: str, index: "PrefixIndex") -> None:
        self.name = name
        self.trust = 1.0
        self._index = index
        self._held_by_hash: OrderedDict[int, _Held] = OrderedDict()
        self._tokens = 0
        self._sequence: int | None = None
        self._doubt_before = 0.0
        self._share = CACHE_SHARE
        self._capacity = 0

    def cached_tokens(
        self, hashes: Sequence[int], prompt_tokens: int, lengths: Sequence[int] = ()
    ) -> int:
        """Return how many prompt tokens are expected to be in the cache.

        lengths are the tokens of the prefixes where they are known.
        """
        held_by_hash = self._held_by_hash
        if not held_by_hash:
            return 0
        for level in range(len(hashes) - 1, -1, -1):
            held = held_by_hash.get(hashes[level])
            if held is None:
                continue
            weight = DOUBTFUL_WEIGHT if held.at < self._doubt_before else 1.0
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
        """Note a prompt that was dispatched to the upstream."""
        for level, prefix_hash in enumerate(hashes):
            own_tokens = lengths[level] if lengths else prefix_tokens(level)
            if level:
                own_tokens -= (
                    lengths[level - 1] if lengths else prefix_tokens(level - 1)
                )
            self._touch(prefix_hash, own_tokens, now)
        self._capacity = capacity
        while self._tokens > capacity * self._share and self._held_by_hash:
            self._drop(next(iter(self._held_by_hash)))

    def correct(self, expected: int, cached: int) -> None:
        """Compare the tokens expected in the cache with what the upstream told."""
        if expected <= 0:
            return
        ratio = min(cached * self.trust / expected, 1.0)
        self.trust += TRUST_GAIN * (ratio - self.trust)
        self.trust = max(self.trust, MIN_TRUST)

    def take_changes(self, changes: Sequence[CacheChange], now: float) -> None:
        """Fold in cache events, which are late and may have gaps.

        A gap may have hidden removals: what was noted before it counts half
        from then on. A removal that is told soon after an own dispatch is older
        than the dispatch and is passed over, since the prompt is back by then.
        """
        for change in changes:
            expected = self._sequence
            if expected is not None and change.sequence <= expected:
                continue
            if expected is not None and change.sequence > expected + 1:
                self._doubt_before = now
            self._sequence = change.sequence
            self._take_change(change, now)

    def clear(self) -> None:
        """Forget all; the upstream was started anew."""
        for prefix_hash in list(self._held_by_hash):
            self._drop(prefix_hash)
        self._sequence = None
        self.trust = 1.0

    def _take_change(self, change: CacheChange, now: float) -> None:
        if change.stored:
            self._touch(change.prefix_hash, FIRST_PREFIX_TOKENS, now)
            return
        held = self._held_by_hash.get(change.prefix_hash)
        if held is not None and held.at < now - RECENT_SECONDS:
            self._learn_share()
            self._drop(change.prefix_hash)

    def _learn_share(self) -> None:
        """Learn the size of the cache: a removal tells that it is full."""
        if self._capacity <= 0:
            return
        seen = min(self._tokens / self._capacity, 1.0)
        self._share += CAPACITY_GAIN * (1.1 * seen - self._share)

    def _touch(self, prefix_hash: int, tokens: int, now: float) -> None:
        held = self._held_by_hash.get(prefix_hash)
        if held is not None:
            held.at = now
            self._held_by_hash.move_to_end(prefix_hash)
            return
        self._held_by_hash[prefix_hash] = _Held(tokens, now)
        self._tokens += tokens
        self._index.add(prefix_hash, self.name)

    def _drop(self, prefix_hash: int) -> None:
        held = self._held_by_hash.pop(prefix_hash)
        self._tokens -= held.tokens
        self._index.discard(prefix_hash, self.name)


class PrefixIndex:
    """The names of the upstreams that probably hold a prefix."""

    def __init__(self) -> None:
        self._names_by_hash: dict[int, dict[str, None]] = {}

    def add(self, prefix_hash: int, name: str) -> None:
        """Note a holder."""
        self._names_by_hash.setdefault(prefix_hash, {})[name] = None

    def discard(self, prefix_hash: int, name: str) -> None:
        """Forget a holder."""
        names = self._names_by_hash.get(prefix_hash)
        if names is None:
            return
        names.pop(name, None)
        if not names:
            del self._names_by_hash[prefix_hash]

    def longest(self, hashes: Sequence[int]) -> tuple[int, dict[str, None]]:
        """Return the level and the holders of the longest held prefix.

        The level is -1 and there are no holders when none is held.
        """
        for level in range(len(hashes) - 1, -1, -1):
            names = self._names_by_hash.get(hashes[level])
            if names:
                return level, names
        return -1, {}
