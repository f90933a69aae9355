import numpy as np
import pytest

from bench.arrivals import (
    BURST_FACTOR,
    BURST_SECONDS,
    arrival_times,
    capacity,
    make_requests,
    prefix_levels,
)
from bench.deployments import POOLS_BY_NAME, ZAF_ENGINES


@pytest.mark.parametrize("bursty", [False, True])
def test_arrivals_keep_the_mean_rate(bursty):
    times = arrival_times(50.0, 400.0, bursty, np.random.default_rng(3))
    assert len(times) == pytest.approx(20_000, rel=0.03)
    assert 0 <= times[0] <= times[-1] <= 400.0


def test_bursts_have_the_burst_rate():
    times = arrival_times(50.0, 40.0, True, np.random.default_rng(3))
    busiest = max(
        ((times >= start) & (times < start + BURST_SECONDS)).sum()
        for start in np.arange(0, 28, 0.1)
    )
    assert busiest == pytest.approx(50 * BURST_FACTOR * BURST_SECONDS, rel=0.1)


def test_sizes_span_a_factor_of_100_and_prefixes_are_shared():
    requests = make_requests(ZAF_ENGINES, 20.0, 200.0, False, 3)
    sizes = [request.prompt - request.shared for request in requests]
    assert np.percentile(sizes, 98) > 100 * np.percentile(sizes, 5)
    documents = {
        request.prefix_hashes[3] for request in requests if request.shared == 512
    }
    assert 1 < len(documents) < 30


def test_prefixes_beyond_the_document_are_unique_to_the_request():
    requests = make_requests(ZAF_ENGINES, 20.0, 200.0, False, 3)
    tails = [
        prefix_hash
        for request in requests
        for prefix_hash in request.prefix_hashes[prefix_levels(request.shared) :]
    ]
    assert len(tails) == len(set(tails))


@pytest.mark.parametrize("pool", sorted(POOLS_BY_NAME))
def test_capacity_is_the_same_each_time(pool):
    first = capacity(pool)
    capacity.cache_clear()
    assert capacity(pool) == first > 1
