"""The course of a rollout: how much the new version gets, and when it is judged.

A version that may be bad must not get more than a bounded part of the requests until
the time limit, whenever it turns bad. So it never gets more than that, found good or
not, until the rollout is completed right before its time limit. What remains of the
bound is spent in the last seconds, since the old upstreams stop at once.
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
"""Requests that the new version may get at once."""

BATCHES = 5
MIN_BATCH = 8
MAX_BATCH = 36
"""In how many pulses the rest of what is spread over the time is allotted, and how many
requests one has. A pulse loads few upstreams like those of the old version."""

EVALUATION_FRACTION = 0.75
"""Part of what may be spent until the completion that is spread over the whole time."""

RAMP_SECONDS = 5.0
RAMP_FRACTION = 0.35
"""How long before the completion the rest is spent: seconds, and part of the time limit
at most. What runs there need not end with the old upstreams."""

SAFETY_FRACTION = 0.95
"""Part of the bounds that is used at all."""

MIN_COMPLETION_MARGIN = 0.6
COMPLETION_MARGIN_FRACTION = 0.04
"""Time kept between completion and time limit: seconds, and part of the limit."""

BURST_FACTOR = 1.3
"""How many times the mean rate of requests is expected between completion and limit."""

MIN_RESPONSES = 12
"""Answers of the new version without which it isn't given all requests."""

DOUBT_FRACTION = 0.7
"""Part of the threshold from which a version is reverted at the end of its time."""


class Progress(NamedTuple):
    """What is known of a rollout under way; times in seconds.

    old_running are requests that run on the old version, None while that isn't known.
    """

    elapsed: float
    duration: float
    reached: int
    old_running: int | None
    counts_by_cell: Mapping[Cell, Counts]


class Step(NamedTuple):
    """The phase that follows, and why."""

    phase: Phase
    why: str


def completion_time(duration: float) -> float:
    """Return when a rollout is completed, in seconds since its order."""
    return duration - max(MIN_COMPLETION_MARGIN, COMPLETION_MARGIN_FRACTION * duration)


def most_exposed(progress: Progress, bounds: RolloutBounds) -> int:
    """Return how many requests the new version may have got by now in all.

    It gets some at once and pulses of more, evenly until the completion; in the last
    seconds, without pulses, also what was not planned for judging it.
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
    """Return the bound less what will reach the service after the completion."""
    rate = progress.reached / max(progress.elapsed, 1.0)
    reached = max(progress.reached, rate * completion)
    rest = progress.duration - completion
    reserved = BURST_FACTOR * rate * rest * (1 - bounds.fraction)
    return SAFETY_FRACTION * (bounds.fraction * reached + bounds.tolerance) - reserved


def next_step(
    progress: Progress, weigh: WeighEvidence = weigh_by_mixture
) -> Step | None:
    """Return what a rollout goes on to, None when it stays where it is."""
    worst = find_strongest(progress.counts_by_cell, weigh)
    weight = worst.weight if worst is not None else 0.0
    if worst is not None and weight >= revert_threshold():
        return Step(Phase.REVERTED, worst.describe())
    answered = count_responses(progress.counts_by_cell).trials
    if progress.elapsed >= completion_time(progress.duration):
        if answered < MIN_RESPONSES:
            text = f"{answered} answers of {MIN_RESPONSES} within its time limit"
            return Step(Phase.REVERTED, text)
        if worst is not None and weight >= DOUBT_FRACTION * revert_threshold():
            return Step(Phase.REVERTED, f"in doubt at the end: {worst.describe()}")
        left = "unknown" if progress.old_running is None else progress.old_running
        text = f"{answered} answers; still running on the old version: {left}"
        return Step(Phase.COMPLETE, text)
    return None
