"""Direct connections to upstreams, from which the state of paths is learned."""

import curio

from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.errors import ConnectRefusedError
from bitterntiller.components.http.pool import ConnectionPool
from bitterntiller.components.paths.host_paths import HostPaths
from bitterntiller.components.tunnels import const
from bitterntiller.components.tunnels.client import Destination
from bitterntiller.components.tunnels.event_logging import log_path
from bitterntiller.core.clock import Clock


class DirectPaths:
    """Opens direct connections and probes the paths that have failed."""

    def __init__(
        self, connections: ConnectionPool, paths: HostPaths, clock: Clock
    ) -> None:
        self._connections = connections
        self._paths = paths
        self._clock = clock
        self._probing: set[str] = set()

    async def async_open(
        self, destination: Destination, timeout: float
    ) -> ClientExchange:
        """Return a new direct connection, and record whether the path works."""
        address = destination.address
        try:
            client = await self._connections.async_open(address, timeout)
        except ConnectRefusedError as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            now = self._clock.now()
            if self._paths.record_failed(
                address, destination.upstream, not refused, now
            ):
                log_path(destination, False, error.text)
            raise
        if self._paths.record_reached(address):
            log_path(destination, True, "")
        return client

    async def async_probe_failed_paths(self) -> None:
        """Probe the failed paths that requests need, until cancelled."""
        while True:
            await curio.sleep(const.PROBE_CHECK_SECONDS)
            for address, upstream in self._paths.due_probes(self._clock.now()):
                await self.async_probe(Destination("", upstream, address))

    async def async_probe(self, destination: Destination) -> None:
        """Probe the path to an upstream in the background."""
        if destination.address in self._probing:
            return
        self._probing.add(destination.address)
        await curio.spawn(self._async_probe, destination, daemon=True)

    async def _async_probe(self, destination: Destination) -> None:
        try:
            client = await self.async_open(destination, const.PROBE_SECONDS)
            await client.async_close()
        except ConnectRefusedError:
            return
        finally:
            self._probing.discard(destination.address)
