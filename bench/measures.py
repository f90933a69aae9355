"""Measures of a run."""

from collections import Counter
from typing import TypedDict

import numpy as np

from bench.entry import Attempt, EntryHosts
from bench.models import RunSpec
from bench.owner import Owner

PERCENTILES = (50, 95)


class TierMeasures(TypedDict):
    """One tier; offered and useful count callers' requests, not attempts."""

    offered: int
    useful: int
    useful_tokens: int
    gave_up_waiting: int
    gave_up_running: int
    refused_by_reason: dict[str, int]
    wait_percentiles: list[float]
    first_token_percentiles: list[float]


class Measures(TypedDict):
    """One run; wasted, recomputed and computed in prompt tokens, times in seconds.

    wasted is the prefill of requests without a useful response; recomputed is the
    prefill of prefixes that the pool had computed before. For a plain service, both are
    units of work. calls is the number of calls of the scheduler.
    """

    pool: str
    case: str
    load: float
    seed: int
    scheduler: str
    duration: float
    parameters: tuple[tuple[str, object], ...]
    goodput: float
    goodput_tokens: float
    wasted: float
    recomputed: float
    computed: float
    calls: int
    cpu_seconds: float
    tiers: dict[str, TierMeasures]


def measure(spec: RunSpec, hosts: EntryHosts, owner: Owner, cpu: float) -> Measures:
    """Return the measures of a run that has ended."""
    attempts = list(hosts.attempts_by_id.values())
    jobs = [attempt for attempt in attempts if attempt.job is not None]
    useful = [attempt for attempt in attempts if attempt.outcome == "useful"]
    tokens = sum(attempt.request.prompt + attempt.request.output for attempt in useful)
    tiers = sorted({(a.request.tier_rank, a.request.tier) for a in attempts})
    return Measures(
        **spec._asdict(),
        goodput=len(useful) / spec.duration,
        goodput_tokens=tokens / spec.duration,
        wasted=sum(a.job.computed for a in jobs if a.outcome != "useful"),
        recomputed=sum(attempt.job.recomputed for attempt in jobs),
        computed=sum(attempt.job.computed for attempt in jobs),
        calls=owner.calls,
        cpu_seconds=cpu,
        tiers={
            name: _measure_tier([a for a in attempts if a.request.tier == name])
            for _, name in tiers
        },
    )


def _measure_tier(attempts: list[Attempt]) -> TierMeasures:
    useful = [attempt for attempt in attempts if attempt.outcome == "useful"]
    waits = [a.granted - a.arrived for a in attempts if a.granted is not None]
    first = [
        a.first_token - a.request.at for a in attempts if a.first_token is not None
    ]
    outcomes = Counter(attempt.outcome for attempt in attempts)
    return TierMeasures(
        offered=len({attempt.request.number for attempt in attempts}),
        useful=len(useful),
        useful_tokens=sum(a.request.prompt + a.request.output for a in useful),
        gave_up_waiting=outcomes["gave-up-waiting"],
        gave_up_running=outcomes["gave-up-running"],
        refused_by_reason=dict(Counter(a.reason for a in attempts if a.reason)),
        wait_percentiles=_percentiles(waits),
        first_token_percentiles=_percentiles(first),
    )


def _percentiles(values: list[float]) -> list[float]:
    if not values:
        return []
    return [float(value) for value in np.percentile(values, PERCENTILES)]
