"""The course of a rollout: how much the new version gets, and when it is judged.

A version that may be bad must not get more than a bounded part of the requests until
the time limit, whenever it turns bad. So it never gets more than that, found good or
not, until the rollout is completed right before its time limit. What remains of the
bound is spent in the last seconds, since the old upstreams stop at once.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple

from bitterntiller.components.rollouts.judgement import (
    Weigh,
    answers,
    find_worst,
    threshold,
    weigh_by_mixture,
)
from bitterntiller.components.rollouts.models import Cell, Counts, Phase
from bitterntiller.components.settings.models import RolloutBounds

START_REQUESTS = 8
"""Requests that the new version may get at once."""

PULSES = 5
LEAST_PULSE = 8
MOST_PULSE = 36
"""In how many pulses the rest of what is spread over the time is allotted, and how many
requests one has. A pulse loads few upstreams like those of the old version."""

JUDGED_PART = 0.75
"""Part of what may be spent until the completion that is spread over the whole time."""

LAST_SECONDS = 5.0
LAST_PART = 0.35
"""How long before the completion the rest is spent: seconds, and part of the time limit
at most. What runs there need not end with the old upstreams."""

SAFE_PART = 0.95
"""Part of the bounds that is used at all."""

LEAST_REST = 0.6
REST_PART = 0.04
"""Time kept between completion and time limit: seconds, and part of the limit."""

BURST = 1.3
"""How many times the mean rate of requests is expected between completion and limit."""

LEAST_ANSWERS = 12
"""Answers of the new version without which it isn't given all requests."""

DOUBT = 0.7
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


def completes_at(duration: float) -> float:
    """Return when a rollout is completed, in seconds since its order."""
    return duration - max(LEAST_REST, REST_PART * duration)


def most_exposed(progress: Progress, bounds: RolloutBounds) -> int:
    """Return how many requests the new version may have got by now in all.

    It gets some at once and pulses of more, evenly until the completion; in the last
    seconds, without pulses, also what was not planned for judging it.
    """
    until = completes_at(progress.duration)
    in_all = _spent_at_completion(progress, until, bounds)
    start = max(0.0, min(START_REQUESTS, in_all, SAFE_PART * bounds.tolerance))
    judged = max(0.0, JUDGED_PART * in_all - start)
    planned = judged * progress.elapsed / until
    last = min(LAST_SECONDS, LAST_PART * progress.duration)
    into_last = (progress.elapsed - (until - last)) / last
    if into_last < 0:
        pulse = min(max(judged / PULSES, LEAST_PULSE), MOST_PULSE)
        planned = pulse * math.floor(planned / pulse)
    else:
        planned += (in_all - start - judged) * min(1.0, into_last)
    so_far = SAFE_PART * (bounds.fraction * progress.reached + bounds.tolerance)
    return math.floor(max(0.0, min(so_far, start + planned)))


def _spent_at_completion(
    progress: Progress, until: float, bounds: RolloutBounds
) -> float:
    """Return the bound less what will reach the service after the completion."""
    rate = progress.reached / max(progress.elapsed, 1.0)
    reached = max(progress.reached, rate * until)
    rest = progress.duration - until
    reserved = BURST * rate * rest * (1 - bounds.fraction)
    return SAFE_PART * (bounds.fraction * reached + bounds.tolerance) - reserved


def next_step(progress: Progress, weigh: Weigh = weigh_by_mixture) -> Step | None:
    """Return what a rollout goes on to, None when it stays where it is."""
    worst = find_worst(progress.counts_by_cell, weigh)
    weight = worst.weight if worst is not None else 0.0
    if worst is not None and weight >= threshold():
        return Step(Phase.REVERTED, worst.describe())
    answered = answers(progress.counts_by_cell).trials
    if progress.elapsed >= completes_at(progress.duration):
        if answered < LEAST_ANSWERS:
            text = f"{answered} answers of {LEAST_ANSWERS} within its time limit"
            return Step(Phase.REVERTED, text)
        if worst is not None and weight >= DOUBT * threshold():
            return Step(Phase.REVERTED, f"in doubt at the end: {worst.describe()}")
        left = "unknown" if progress.old_running is None else progress.old_running
        text = f"{answered} answers; still running on the old version: {left}"
        return Step(Phase.COMPLETE, text)
    return None
