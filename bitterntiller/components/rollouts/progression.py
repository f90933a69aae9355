"""Progression of a rollout: how many requests the candidate gets, and its verdict.

Until the time limit, a candidate version that turns out bad must not have got more than
a bounded fraction of the requests, whenever it turns bad. So it stays within that bound
until the rollout completes, shortly before the time limit, even if it looks good. The
rest of the bound is used in the last seconds before completion, because the upstreams
of the old version stop right after it and cut off the requests that run on them.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple

from bitterntiller.components.rollouts.canary_analysis import (
    WeighEvidence,
    count_responses,
    find_strongest,
    revert_threshold,
    weigh_by_mixture,
)
from bitterntiller.components.rollouts.models import Cell, Counts, Phase
from bitterntiller.components.settings.models import RolloutBounds

INITIAL_REQUESTS = 8
"""Requests that the candidate version may get at the start."""

BATCHES = 5
MIN_BATCH = 8
MAX_BATCH = 36
"""Number of batches in which the paced requests are released, and the bounds of the
size of a batch. A batch puts the same load on the few canary upstreams as upstreams of
the old version have."""

EVALUATION_FRACTION = 0.75
"""Fraction of the budget until completion that is paced over the whole time."""

RAMP_SECONDS = 5.0
RAMP_FRACTION = 0.35
"""Duration of the ramp before completion, in which the rest of the budget is used:
seconds, and at most this fraction of the time limit. Requests that run on the candidate
are not cut off when the old upstreams stop."""

SAFETY_FRACTION = 0.95
"""Fraction of the bounds that is used."""

MIN_COMPLETION_MARGIN = 0.6
COMPLETION_MARGIN_FRACTION = 0.04
"""Minimum time between completion and time limit: seconds, and fraction of the
limit."""

BURST_FACTOR = 1.3
"""Request rate assumed between completion and time limit, as a multiple of the mean
rate."""

MIN_RESPONSES = 12
"""Responses of the candidate version without which it is reverted."""

DOUBT_FRACTION = 0.7
"""Fraction of the revert threshold at which a version is reverted at completion."""


class Progress(NamedTuple):
    """Progress of a rollout under evaluation; times in seconds.

    old_running is the number of requests that run on the old version, None if unknown.
    """

    elapsed: float
    duration: float
    reached: int
    old_running: int | None
    counts_by_cell: Mapping[Cell, Counts]


class Step(NamedTuple):
    """The next phase of a rollout, and the reason."""

    phase: Phase
    why: str


def completion_time(duration: float) -> float:
    """Return when a rollout completes, in seconds since its order."""
    return duration - max(MIN_COMPLETION_MARGIN, COMPLETION_MARGIN_FRACTION * duration)


def most_exposed(progress: Progress, bounds: RolloutBounds) -> int:
    """Return how many requests in total the candidate version may have got by now.

    It gets some at the start and then batches, evenly until completion. During the
    ramp it continuously gets the rest of the budget too.
    """
    completion = completion_time(progress.duration)
    budget = _budget_until_completion(progress, completion, bounds)
    initial = max(
        0.0, min(INITIAL_REQUESTS, budget, SAFETY_FRACTION * bounds.tolerance)
    )
    paced_total = max(0.0, EVALUATION_FRACTION * budget - initial)
    released = paced_total * progress.elapsed / completion
    ramp_seconds = min(RAMP_SECONDS, RAMP_FRACTION * progress.duration)
    ramp_progress = (progress.elapsed - (completion - ramp_seconds)) / ramp_seconds
    if ramp_progress < 0:
        batch = min(max(paced_total / BATCHES, MIN_BATCH), MAX_BATCH)
        released = batch * math.floor(released / batch)
    else:
        released += (budget - initial - paced_total) * min(1.0, ramp_progress)
    current_bound = SAFETY_FRACTION * (
        bounds.fraction * progress.reached + bounds.tolerance
    )
    return math.floor(max(0.0, min(current_bound, initial + released)))


def _budget_until_completion(
    progress: Progress, completion: float, bounds: RolloutBounds
) -> float:
    """Return the bound less the requests expected after completion."""
    rate = progress.reached / max(progress.elapsed, 1.0)
    reached = max(progress.reached, rate * completion)
    remaining = progress.duration - completion
    reserved = BURST_FACTOR * rate * remaining * (1 - bounds.fraction)
    return SAFETY_FRACTION * (bounds.fraction * reached + bounds.tolerance) - reserved


def next_step(
    progress: Progress, weigh: WeighEvidence = weigh_by_mixture
) -> Step | None:
    """Return the next step of a rollout, None while its evaluation continues."""
    strongest = find_strongest(progress.counts_by_cell, weigh)
    weight = strongest.weight if strongest is not None else 0.0
    if strongest is not None and weight >= revert_threshold():
        return Step(Phase.REVERTED, strongest.describe())
    answered = count_responses(progress.counts_by_cell).trials
    if progress.elapsed >= completion_time(progress.duration):
        if answered < MIN_RESPONSES:
            text = f"{answered} answers of {MIN_RESPONSES} within its time limit"
            return Step(Phase.REVERTED, text)
        if strongest is not None and weight >= DOUBT_FRACTION * revert_threshold():
            return Step(Phase.REVERTED, f"in doubt at the end: {strongest.describe()}")
        left = "unknown" if progress.old_running is None else progress.old_running
        text = f"{answered} answers; still running on the old version: {left}"
        return Step(Phase.COMPLETE, text)
    return None
