"""What is believed of an upstream's prefix cache, under late events and gaps."""

from bitterntiller.components.dispatch.models import CacheChange
from bitterntiller.components.dispatch.prefix import PrefixCache, PrefixIndex

HASHES = (11, 12, 13)


def cache(now=100.0):
    index = PrefixIndex()
    made = PrefixCache("engine-1", index)
    made.add(HASHES, 100_000, now)
    return made, index


def test_a_dispatched_prompt_is_believed_to_be_held():
    made, index = cache()
    assert made.cached_tokens(HASHES, 1000) == 256
    assert made.cached_tokens((11, 99), 1000) == 64
    assert index.longest_match((11, 12, 99)) == (1, {"engine-1": None})


def test_a_removal_older_than_the_dispatch_is_passed_over():
    """The engine dropped a prefix, then computed it anew for our request.

    The event of the removal comes after the dispatch. Believing it would send
    the next request with the prefix elsewhere, to be computed there again.
    """
    made, _ = cache(now=100.0)
    made.apply_changes([CacheChange(1, False, 13)], 101.0)
    assert made.cached_tokens(HASHES, 1000) == 256
    made.apply_changes([CacheChange(2, False, 13)], 110.0)
    assert made.cached_tokens(HASHES, 1000) == 128


def test_a_gap_halves_what_was_believed_before():
    made, _ = cache(now=100.0)
    made.apply_changes([CacheChange(1, True, 50)], 105.0)
    made.apply_changes([CacheChange(7, True, 51)], 106.0)
    assert made.cached_tokens(HASHES, 1000) == 128
    made.add(HASHES, 100_000, 107.0)
    assert made.cached_tokens(HASHES, 1000) == 256


def test_the_oldest_go_when_the_cache_is_full():
    made, index = cache()
    for number in range(1000, 1400):
        made.add((number,), 1000, 101.0)
    assert made.cached_tokens(HASHES, 1000) == 0
    assert index.longest_match(HASHES) == (-1, {})
