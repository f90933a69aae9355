"""Diagnostics of the dispatch role for the state dump."""

from collections.abc import Mapping
from typing import Any

from bitterntiller.components.dispatch.coordinator import DispatchCoordinator


def describe(coordinator: DispatchCoordinator, now: float) -> Mapping[str, Any]:
    """Return the owned pools with their epochs, queues and upstreams."""
    return {
        "pools_by_name": {
            name: {"epoch": pool.epoch, **pool.scheduler.describe(now)}
            for name, pool in coordinator.pools_by_name.items()
        }
    }


def announced(coordinator: DispatchCoordinator) -> list[dict[str, Any]]:
    """Return the announced upstreams of the owned pools, with their labels."""
    return [
        {"name": name, "service": pool.name, "labels": labels}
        for pool in coordinator.pools_by_name.values()
        for name, labels in pool.labels_by_upstream().items()
    ]
