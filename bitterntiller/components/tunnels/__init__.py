"""Connections to upstreams through another host, and the tunnels of other hosts."""

import functools

from bitterntiller.components.http.pool import ConnectionPool
from bitterntiller.components.paths.host_paths import HostPaths
from bitterntiller.components.tunnels import const
from bitterntiller.components.tunnels.diagnostics import describe
from bitterntiller.components.tunnels.direct import DirectPaths
from bitterntiller.components.tunnels.relayed import RelayedConnector
from bitterntiller.components.tunnels.relays import Relays
from bitterntiller.components.tunnels.server import TunnelServer
from bitterntiller.core.interfaces import DirectoryView
from bitterntiller.core.runtime import Runtime


async def async_setup(
    runtime: Runtime,
    directory: DirectoryView,
    connections: ConnectionPool,
) -> tuple[RelayedConnector, TunnelServer]:
    """Set up both ends of tunnels; they are unloaded with the runtime's stack."""
    paths = HostPaths(runtime.settings.zone)
    direct = DirectPaths(connections, paths, runtime.clock)
    relays = Relays(
        runtime.settings.host,
        runtime.links,
        directory,
        paths,
        runtime.clock,
        runtime.metrics,
    )
    connector = RelayedConnector(connections, direct, relays, paths, runtime.clock)
    server = TunnelServer(runtime.clock, runtime.metrics, paths)
    remove = runtime.links.handle_streams(const.PURPOSE, server.async_serve)
    runtime.stack.callback(remove)
    await runtime.async_spawn(direct.async_probe_failed_paths())
    runtime.add_diagnostics(
        "tunnels", functools.partial(describe, paths, server, runtime.clock)
    )
    return connector, server
