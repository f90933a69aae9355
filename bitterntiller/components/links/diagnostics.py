"""The links' share of the dump."""

from collections.abc import Mapping
from typing import Any

from bitterntiller.components.links.coordinator import LinkCoordinator


def describe(coordinator: LinkCoordinator) -> Mapping[str, Any]:
    """Return the peers with an open connection; the key is left out."""
    return {
        "address": coordinator.own.address,
        "connected": coordinator.connected(),
    }
