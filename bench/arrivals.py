"""Generates the requests of callers, and computes the capacity of a pool for them."""

from functools import lru_cache

import numpy as np

from bench.deployments import POOLS_BY_NAME
from bench.models import (
    FIRST_PREFIX_TOKENS,
    OfferedRequest,
    PoolSpec,
    UpstreamProfile,
    WorkKind,
)

DOCUMENTS_PER_WORKSPACE = 10
ZIPF_EXPONENT = 1.1
BURST_FACTOR = 2.5
BURST_SECONDS = 12.0
BURST_PERIOD = 40.0
MAX_PROMPT = 24_000
CAPACITY_SAMPLE = 4000
CAPACITY_SEED = 20
DOCUMENT_HASH = 1 << 50
REQUEST_HASH = 1 << 51
LEVEL_BITS = 8


def prefix_levels(tokens: int) -> int:
    """Return the number of hashed prefixes of a prompt with that many tokens."""
    return max(0, (tokens // FIRST_PREFIX_TOKENS).bit_length())


def prefix_tokens(level: int) -> int:
    """Return the number of tokens of the prefix at a level, counted from 0."""
    return FIRST_PREFIX_TOKENS << level


def make_hashes(prompt: int, shared: int, document: int, number: int) -> tuple:
    """Return the hashes of a prompt's prefixes; those of the document are shared."""
    shared_levels = prefix_levels(shared)
    return tuple(
        DOCUMENT_HASH | document << LEVEL_BITS | level
        if level < shared_levels
        else REQUEST_HASH | number << LEVEL_BITS | level
        for level in range(prefix_levels(prompt))
    )


def arrival_times(
    rate: float, duration: float, bursty: bool, rng: np.random.Generator
) -> np.ndarray:
    """Return the sorted arrival times of a Poisson process with that mean rate.

    With bursts, every BURST_PERIOD has one burst of BURST_SECONDS at BURST_FACTOR times
    the mean rate, at a random offset; the rate outside of bursts is lower, so that the
    mean stays the same.
    """
    count = rng.poisson(rate * duration)
    if not bursty:
        return np.sort(rng.uniform(0.0, duration, count))
    in_burst = rng.random(count) < BURST_FACTOR * BURST_SECONDS / BURST_PERIOD
    period = rng.integers(0, max(1, int(duration / BURST_PERIOD)), count)
    periods = max(1, int(duration / BURST_PERIOD))
    starts = rng.uniform(0.0, BURST_PERIOD - BURST_SECONDS, periods)
    inside = rng.uniform(0.0, BURST_SECONDS, count) + starts[period]
    outside = rng.uniform(0.0, BURST_PERIOD - BURST_SECONDS, count)
    outside = np.where(outside < starts[period], outside, outside + BURST_SECONDS)
    return np.sort(period * BURST_PERIOD + np.where(in_burst, inside, outside))


def make_requests(
    pool: PoolSpec, rate: float, duration: float, bursty: bool, seed: int
) -> list[OfferedRequest]:
    """Return the requests of a run, in order of arrival."""
    rng = np.random.default_rng(seed)
    times = arrival_times(rate, duration, bursty, rng)
    count = len(times)
    kinds = rng.choice(len(pool.kinds), count, p=_shares(pool.kinds))
    tiers = rng.choice(len(pool.tiers), count, p=_shares(pool.tiers))
    names = list(pool.weights_by_workspace)
    weights = np.array([pool.weights_by_workspace[name] for name in names])
    workspaces = rng.choice(len(names), count, p=weights / weights.sum())
    popularity = 1.0 / np.arange(1, DOCUMENTS_PER_WORKSPACE + 1) ** ZIPF_EXPONENT
    documents = rng.choice(
        DOCUMENTS_PER_WORKSPACE, count, p=popularity / popularity.sum()
    )
    normals = rng.standard_normal((count, 2))
    errors = rng.uniform(0.9, 1.1, count)
    fractions = rng.uniform(0.5, 1.0, count)
    hosts = rng.integers(0, pool.hosts, count)
    plain = pool.upstreams[0].plain
    requests = []
    for number in range(count):
        kind = pool.kinds[kinds[number]]
        tier = pool.tiers[tiers[number]]
        shared = _document_tokens(kind, int(documents[number]))
        own = kind.own_prompt * np.exp(kind.spread * normals[number, 0])
        limit = kind.output * np.exp(kind.spread * normals[number, 1])
        prompt = shared + max(1, min(MAX_PROMPT, int(own)))
        output = max(1, int(limit * fractions[number]))
        document = int(workspaces[number]) << 16 | int(kinds[number]) << 8
        document |= int(documents[number])
        request = OfferedRequest(
            number=number,
            at=float(times[number]),
            workspace=names[workspaces[number]],
            tier=tier.name,
            tier_rank=tier.rank,
            kind=kind.name,
            prompt=prompt,
            prompt_estimate=max(1, int(prompt * errors[number])),
            output=output,
            # The output of a plain service can't be estimated.
            output_estimate=1 if plain else max(1, int(limit)),
            shared=shared,
            deadline=kind.deadline * tier.deadline_factor,
            prefix_hashes=()
            if plain
            else make_hashes(prompt, shared, document, number),
            host=int(hosts[number]),
        )
        requests.append(request)
    return requests


def _document_tokens(kind: WorkKind, document: int) -> int:
    """Return the length of a document, fixed for each document of a kind."""
    if not kind.shared_tokens:
        return 0
    return kind.shared_tokens[document % len(kind.shared_tokens)]


def _shares(weighted: tuple) -> np.ndarray:
    """Return the normalized weights of some specs."""
    weights = np.array([item.weight for item in weighted])
    return weights / weights.sum()


def usable_batch(profile: UpstreamProfile, requests: list[OfferedRequest]) -> float:
    """Return the batch size that slots and KV cache memory allow."""
    if profile.plain:
        return profile.slots
    held = sum(
        request.output * (request.prompt + request.output) for request in requests
    )
    mean_held = held / sum(request.output for request in requests)
    return min(profile.slots, profile.kv_tokens / mean_held)


def engine_seconds(
    profile: UpstreamProfile, request: OfferedRequest, batch: float
) -> float:
    """Return the upstream time in seconds that a request takes in a full batch.

    The shared part of the prompt is assumed to be cached.
    """
    prefill = (request.prompt - request.shared) / profile.prefill_speed
    return prefill + request.output * profile.step(batch) / batch


@lru_cache
def capacity(pool_name: str) -> float:
    """Return an upper bound of the requests per second that a pool can serve.

    It assumes that every batch is full, that every shared prefix is cached, and that
    each request costs its prefill and its part of the decode steps of its upstream.
    """
    pool = POOLS_BY_NAME[pool_name]
    requests = make_requests(pool, CAPACITY_SAMPLE, 1.0, False, CAPACITY_SEED)
    rate = 0.0
    for profile in pool.upstreams:
        batch = usable_batch(profile, requests)
        seconds = sum(engine_seconds(profile, request, batch) for request in requests)
        rate += len(requests) / seconds
    return rate
