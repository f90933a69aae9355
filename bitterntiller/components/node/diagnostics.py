"""The section of the node component in the state dump of a process."""

from typing import Any

from bitterntiller.components.node.coordinator import NodeCoordinator


def describe(node: NodeCoordinator) -> dict[str, Any]:
    """Return the lease, and versions, hosts and owners as last received."""
    return {
        "lease_valid": node.lease.valid(),
        "lease_left_s": round(max(node.lease.remaining(), 0.0), 3),
        "leader": node.control_client.leader,
        "control_addresses": list(node.control_client.addresses),
        "config_version": node.config.version,
        "config_loading": node.download.describe(),
        "directory_version": node.directory.version,
        "versions": node.versions.describe(),
        "hosts": {name: host._asdict() for name, host in node.hosts_by_name.items()},
        "owners": {
            pool: owner._asdict()
            for pool, owner in node.directory.owners_by_pool.items()
        },
    }
