"""Types of the simulations; times in seconds, sizes in tokens."""

from typing import NamedTuple

FIRST_PREFIX_TOKENS = 64
"""Tokens of the shortest hashed prefix (256 bytes); each next one is twice as long."""


class UpstreamProfile(NamedTuple):
    """Capacity and speed of one upstream at full speed.

    prefill_speed is in prompt tokens per second. A decode step takes step_base plus
    step_per_sequence for each sequence of the batch, in seconds, and produces one token
    for each of them. A plain service has no prefill; its output tokens are units of
    work of step_base seconds each, and it can't cancel a running request.
    """

    name: str
    zone: str
    generation: str
    slots: int
    kv_tokens: int
    cache_tokens: int
    prefill_speed: float
    step_base: float
    step_per_sequence: float
    plain: bool = False

    def step(self, sequences: float) -> float:
        """Return the duration of a decode step with that many sequences."""
        return self.step_base + self.step_per_sequence * sequences


class WorkKind(NamedTuple):
    """A kind of request; sizes are log-normal, deadline is before the tier's factor.

    own_prompt and output are medians in tokens, spread is the sigma of both.
    shared_tokens are the lengths of the documents that prompts may start with.
    """

    name: str
    weight: float
    own_prompt: int
    output: int
    spread: float
    deadline: float
    shared_tokens: tuple[int, ...] = ()


class TierSpec(NamedTuple):
    """A tier, its fraction of the requests and the factor on their deadlines."""

    name: str
    rank: int
    weight: float
    deadline_factor: float


class PoolSpec(NamedTuple):
    """One pool of a deployment with its callers; delay is one-way, in seconds."""

    name: str
    delay: float
    hosts: int
    upstreams: tuple[UpstreamProfile, ...]
    kinds: tuple[WorkKind, ...]
    tiers: tuple[TierSpec, ...]
    weights_by_workspace: dict[str, float]


class CaseSpec(NamedTuple):
    """Faults of a run.

    slow_from, slow_until and killed_at are fractions of the run's duration; report_lag
    and owner_gap are in seconds.
    """

    name: str
    bursty: bool = False
    slow_speed: float = 1.0
    slow_from: float = 0.3
    slow_until: float = 0.7
    report_lag: float = 0.5
    event_loss: float = 0.02
    killed_at: float | None = None
    owner_gap: float = 4.0
    max_retries: int = 0


class OfferedRequest(NamedTuple):
    """One request of a caller, with true sizes and the entry host's estimates."""

    number: int
    at: float
    workspace: str
    tier: str
    tier_rank: int
    kind: str
    prompt: int
    prompt_estimate: int
    output: int
    output_estimate: int
    shared: int
    deadline: float
    prefix_hashes: tuple[int, ...]
    host: int


class RunSpec(NamedTuple):
    """One run of one scheduler; load is a multiple of the pool's capacity.

    parameters are names and values of PolicyParameters that differ from the defaults.
    """

    pool: str
    case: str
    load: float
    seed: int
    scheduler: str
    duration: float
    parameters: tuple[tuple[str, object], ...] = ()
