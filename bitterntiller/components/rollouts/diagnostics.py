"""Diagnostics of rollouts for operators."""

from typing import Any

from bitterntiller.components.rollouts.canary_analysis import (
    count_responses,
    find_strongest,
)
from bitterntiller.components.rollouts.models import Counts
from bitterntiller.components.rollouts.state import Rollout, RolloutsState
from bitterntiller.components.settings.models import RolloutBounds


def describe_rollouts(state: RolloutsState, bounds: RolloutBounds) -> dict[str, Any]:
    """Return the last rollout and the serving version of each service."""
    return {
        "serving_by_service": state.serving_by_service,
        "rollouts_by_service": {
            service: describe_rollout(rollout, bounds)
            for service, rollout in state.by_service.items()
        },
    }


def describe_rollout(rollout: Rollout, bounds: RolloutBounds) -> dict[str, Any]:
    """Return a rollout's state, its exposure and the evidence against it."""
    counts_by_cell = rollout.counts_by_cell()
    answered = count_responses(counts_by_cell)
    strongest = find_strongest(counts_by_cell)
    counts_by_route: dict[str, dict[str, Counts]] = {}
    for cell, counts in counts_by_cell.items():
        sides = counts_by_route.setdefault(cell.route, {})
        side = "new" if cell.upstream else "old"
        sides[side] = sides.get(side, Counts()).plus(counts)
    return {
        "number": rollout.number,
        "to": rollout.to,
        "phase": rollout.phase,
        "why": rollout.why,
        "seconds": rollout.duration_ms / 1000,
        "reached": rollout.reached,
        "exposed": rollout.exposed,
        "allotted": rollout.allotted,
        "bound": int(bounds.fraction * rollout.reached + bounds.tolerance),
        "answers": answered.trials,
        "failed": answered.hits,
        "worst": strongest.describe() if strongest is not None else "",
        "counts_by_route": {
            route: {side: counts._asdict() for side, counts in sides.items()}
            for route, sides in counts_by_route.items()
        },
    }
