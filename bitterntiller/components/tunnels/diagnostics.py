"""State of tunnels and failed paths for the state dump."""

from bitterntiller.components.paths.host_paths import HostPaths
from bitterntiller.components.tunnels.checks import PathChecks
from bitterntiller.components.tunnels.server import TunnelServer
from bitterntiller.core.clock import Clock


def describe(
    paths: HostPaths, checks: PathChecks, server: TunnelServer, clock: Clock
) -> dict[str, object]:
    """Return the failed paths by upstream address, and the tunnels for other hosts."""
    return {
        "failed_paths_by_address": paths.describe(clock.now()),
        "checked_addresses": checks.running,
        "server": server.describe(),
    }
