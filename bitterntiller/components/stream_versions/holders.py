"""Selects the hosts that remember streams."""

from collections.abc import Mapping

import xxhash

from bitterntiller.components.settings.const import ROLE_CONTROL
from bitterntiller.components.stream_versions.const import HOLDERS
from bitterntiller.core.interfaces import HostView

_UNSIGNED = (1 << 64) - 1


def control_hosts(hosts_by_name: Mapping[str, HostView]) -> dict[str, HostView]:
    """Return the hosts that can remember streams, by name."""
    return {
        name: host
        for name, host in hosts_by_name.items()
        if ROLE_CONTROL in (host.roles or ())
    }


def holders(digest: int, names: list[str]) -> list[str]:
    """Return the hosts that remember a stream, by rendezvous hashing."""
    seed = digest & _UNSIGNED

    def weight(name: str) -> int:
        return xxhash.xxh3_64_intdigest(name.encode(), seed=seed)

    return sorted(names, key=weight)[:HOLDERS]
