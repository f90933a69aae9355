"""Connections to upstreams through another host, and the tunnels of other hosts."""

import functools

from bitterntiller.components.http.pool import ConnectionPool
from bitterntiller.components.paths.host_paths import HostPaths
from bitterntiller.components.tunnels import const
from bitterntiller.components.tunnels.checks import PathChecks
from bitterntiller.components.tunnels.diagnostics import describe
from bitterntiller.components.tunnels.direct import DirectPaths
from bitterntiller.components.tunnels.probes import ProbeDialect, Prober
from bitterntiller.components.tunnels.relayed import RelayedConnector
from bitterntiller.components.tunnels.relays import Relays
from bitterntiller.components.tunnels.server import TunnelServer
from bitterntiller.core.interfaces import DirectoryView, UpstreamsView
from bitterntiller.core.runtime import Runtime


async def async_setup(
    runtime: Runtime,
    directory: DirectoryView,
    connections: ConnectionPool,
    probe_dialect: ProbeDialect,
    upstreams: UpstreamsView | None = None,
) -> tuple[RelayedConnector, TunnelServer]:
    """Set up both ends of tunnels; they are unloaded with the runtime's stack."""
    paths = HostPaths(runtime.settings.zone)
    prober = Prober(probe_dialect)
    direct = DirectPaths(connections, paths, prober, runtime.clock, upstreams)
    relays = Relays(
        runtime.settings.host,
        runtime.links,
        directory,
        paths,
        runtime.clock,
        runtime.metrics,
    )
    checks = PathChecks(
        direct,
        relays,
        prober,
        paths,
        connections.allow_close_delimited,
        runtime.clock,
    )
    connector = RelayedConnector(
        connections, direct, relays, checks, paths, runtime.clock
    )
    server = TunnelServer(runtime.clock, runtime.metrics, paths, direct, checks)
    remove = runtime.links.handle_streams(const.PURPOSE, server.async_serve)
    runtime.stack.callback(remove)
    await runtime.async_spawn(direct.async_probe_failed_paths())
    runtime.add_diagnostics(
        "tunnels", functools.partial(describe, paths, checks, server, runtime.clock)
    )
    return connector, server
