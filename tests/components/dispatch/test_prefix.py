"""Tests of the tracked prefix cache of an upstream, with late events and gaps."""

from bitterntiller.components.dispatch.models import CacheChange
from bitterntiller.components.dispatch.prefix import PrefixCache, PrefixIndex

HASHES = (11, 12, 13)


def cache(now=100.0):
    index = PrefixIndex()
    made = PrefixCache("engine-1", index)
    made.add(HASHES, 100_000, now)
    return made, index


def test_dispatched_prompt_is_expected_in_the_cache():
    made, index = cache()
    assert made.cached_tokens(HASHES, 1000) == 256
    assert made.cached_tokens((11, 99), 1000) == 64
    assert index.longest_match((11, 12, 99)) == (1, {"engine-1": None})


def test_removal_older_than_the_dispatch_is_ignored():
    """Requests with a cached prefix were sent to upstreams that had to compute it.

    The engine removed the prefix and computed it again for a dispatched request. The
    removal event arrives after the dispatch and must not count as a later removal.
    """
    made, _ = cache(now=100.0)
    made.apply_changes([CacheChange(1, False, 13)], 101.0)
    assert made.cached_tokens(HASHES, 1000) == 256
    made.apply_changes([CacheChange(2, False, 13)], 110.0)
    assert made.cached_tokens(HASHES, 1000) == 128


def test_gap_halves_the_expected_tokens_of_earlier_prefixes():
    made, _ = cache(now=100.0)
    made.apply_changes([CacheChange(1, True, 50)], 105.0)
    made.apply_changes([CacheChange(7, True, 51)], 106.0)
    assert made.cached_tokens(HASHES, 1000) == 128
    made.add(HASHES, 100_000, 107.0)
    assert made.cached_tokens(HASHES, 1000) == 256


def test_oldest_prefixes_are_evicted_from_a_full_cache():
    made, index = cache()
    for number in range(1000, 1400):
        made.add((number,), 1000, 101.0)
    assert made.cached_tokens(HASHES, 1000) == 0
    assert index.longest_match(HASHES) == (-1, {})
