"""The share of the node part in the dump of a process's state."""

from typing import Any

from bitterntiller.components.node.coordinator import NodeCoordinator


def describe(node: NodeCoordinator) -> dict[str, Any]:
    """Return lease, versions, hosts and owners as this process knows them."""
    return {
        "lease_valid": node.lease.valid(),
        "lease_left_s": round(max(node.lease.remaining(), 0.0), 3),
        "leader": node.control_client.leader,
        "config_version": node.config.version,
        "directory_version": node.directory.version,
        "versions": node.versions.describe(),
        "hosts": {name: host._asdict() for name, host in node.hosts_by_name.items()},
        "owners": {
            pool: owner._asdict()
            for pool, owner in node.directory.owners_by_pool.items()
        },
    }
