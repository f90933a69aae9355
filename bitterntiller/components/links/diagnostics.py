"""The links' section of the state dump."""

from collections.abc import Mapping
from typing import Any

from bitterntiller.components.links.coordinator import LinkCoordinator


def describe(coordinator: LinkCoordinator) -> Mapping[str, Any]:
    """Return the peers with an open connection, without the key."""
    return {
        "address": coordinator.own.address,
        "connected": coordinator.connected(),
    }
