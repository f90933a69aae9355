"""Direct connections to upstreams, from which the state of paths is learned."""

import curio

from bitterntiller.components.control.const import UPSTREAM_SILENT
from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.errors import ConnectRefusedError
from bitterntiller.components.http.pool import ConnectionPool
from bitterntiller.components.paths.host_paths import HostPaths
from bitterntiller.components.paths.models import NO_BYTES, CarriedBytes, PathFault
from bitterntiller.components.tunnels import const
from bitterntiller.components.tunnels.client import Destination
from bitterntiller.components.tunnels.event_logging import log_path
from bitterntiller.components.tunnels.probes import Prober, ProbeResult
from bitterntiller.core.clock import Clock
from bitterntiller.core.interfaces import SentRequest, UpstreamsView


class DirectPaths:
    """Opens direct connections and probes the paths that have failed.

    A connection that opens shows nothing yet; a path works once an answer came over it.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        paths: HostPaths,
        prober: Prober,
        clock: Clock,
        upstreams: UpstreamsView | None = None,
    ) -> None:
        self._upstreams = upstreams
        self._connections = connections
        self._paths = paths
        self._prober = prober
        self._clock = clock
        self._probing: set[str] = set()

    async def async_open(
        self, destination: Destination, timeout: float
    ) -> ClientExchange:
        """Return a new direct connection; record a fault of the path."""
        began = self._clock.now()
        try:
            return await self._connections.async_open(destination.address, timeout)
        except ConnectRefusedError as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            fault = PathFault.REFUSED if refused else PathFault.SILENT
            self.record_failed(destination, fault, error.text, began)
            raise

    def record_failed(
        self,
        destination: Destination,
        fault: PathFault,
        detail: str,
        began_at: float,
        needed: CarriedBytes = NO_BYTES,
    ) -> None:
        """Record and log a fault of the path to an upstream.

        began_at is when that which failed on it was begun.
        """
        if self._paths.record_failed(
            destination.address,
            destination.upstream,
            fault,
            self._clock.now(),
            needed,
            destination.pool,
            began_at,
        ):
            log_path(destination, False, detail, fault)

    def record_carried(
        self, destination: Destination, carried: CarriedBytes, sent_at: float
    ) -> None:
        """Record and log that an upstream answered what was sent to it at a time."""
        now = self._clock.now()
        if self._paths.record_carried(destination.address, carried, sent_at, now):
            log_path(destination, True, "")

    async def async_is_replaced(self, sent: SentRequest) -> bool:
        """Return whether another process answers at the address of an upstream.

        The state of the path is left as it is.
        """
        try:
            client = await self._connections.async_open(
                sent.address, const.PROBE_SECONDS
            )
        except ConnectRefusedError:
            return False
        try:
            return await self._prober.async_is_replaced(client, sent)
        finally:
            await client.async_close()

    async def async_probe_failed_paths(self) -> None:
        """Probe the failed paths that requests need, until cancelled."""
        while True:
            await curio.sleep(const.PROBE_CHECK_SECONDS)
            now = self._clock.now()
            for due in self._paths.due_probes(now, self._is_announced):
                destination = Destination("", due.upstream, due.address, pool=due.pool)
                if due.address not in self._probing:
                    await curio.spawn(
                        self.async_probe, destination, due.sent, daemon=True
                    )

    def _is_announced(self, upstream: str) -> bool:
        """Return whether an upstream announces itself, as far as this host knows."""
        view = self._upstreams
        if view is None or not view.version:
            return True
        state = view.by_name.get(upstream)
        return state is not None and state.state != UPSTREAM_SILENT

    async def async_probe(self, destination: Destination, size: int) -> ProbeResult:
        """Return how an upstream answers a probe of at least size bytes."""
        self._probing.add(destination.address)
        try:
            client = await self.async_open(destination, const.PROBE_SECONDS)
            try:
                if await self.async_answers(client, destination, size):
                    return ProbeResult.ANSWERED
                return ProbeResult.NO_ANSWER
            finally:
                await client.async_close()
        except ConnectRefusedError:
            return ProbeResult.NO_CONNECTION
        finally:
            self._probing.discard(destination.address)

    async def async_answers(
        self,
        client: ClientExchange,
        destination: Destination,
        size: int,
        seconds: float = const.PROBE_ANSWER_SECONDS,
    ) -> bool:
        """Return whether an upstream answers a probe on a direct connection in time.

        The caller closes the connection.
        """
        sent_at = self._clock.now()
        if not await self._prober.async_answers(client, destination, size, seconds):
            return False
        self.record_carried(destination, CarriedBytes(client.sent_bytes), sent_at)
        return True
