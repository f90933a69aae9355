"""The entry role's section of the state dump."""

from collections import Counter
from collections.abc import Mapping
from typing import Any

from bitterntiller.components.entry.coordinator import EntryCoordinator


def describe(coordinator: EntryCoordinator) -> Mapping[str, Any]:
    """Return counts of live requests by phase and workspace, and the reserved bytes."""
    requests = coordinator.registry.by_id.values()
    return {
        "ready": coordinator.ready(),
        "draining": coordinator.pipeline.draining,
        "requests_by_phase": dict(Counter(item.phase for item in requests)),
        "requests_by_workspace": coordinator.budget.requests_by_workspace(),
        "retries_left_by_pool": coordinator.pipeline.retries.left_by_pool(),
        "upstream_notices": coordinator.describe_notices(),
        "held_bytes": coordinator.budget.held_bytes,
    }
