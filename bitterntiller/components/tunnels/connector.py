"""Connect to an upstream: directly, or through another host where that fails."""

import itertools
from typing import NamedTuple, Protocol

import curio

from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.errors import ConnectRefusedError
from bitterntiller.components.http.pool import ConnectionPool
from bitterntiller.components.paths.host_paths import HostPaths, RelayCandidate
from bitterntiller.components.settings.const import ROLE_ENTRY
from bitterntiller.components.tunnels import const
from bitterntiller.components.tunnels.client import (
    Destination,
    async_open_tunnel,
)
from bitterntiller.components.tunnels.errors import TunnelError
from bitterntiller.components.tunnels.event_logging import log_path, log_tunnel
from bitterntiller.core.clock import Clock
from bitterntiller.core.interfaces import (
    DirectoryView,
    Links,
    Metrics,
    SentRequest,
)


class Connected(NamedTuple):
    """A connection to an upstream; relay is the host that it leads through, if any."""

    client: ClientExchange
    relay: str = ""


class Connector(Protocol):
    """Opens connections to upstreams."""

    async def async_acquire(
        self, destination: Destination, timeout: float
    ) -> Connected:
        """Return a connection; raise ConnectRefusedError, nothing was sent then."""
        ...

    async def async_release(self, address: str, connected: Connected) -> None:
        """Keep a connection after its exchange, or close it."""
        ...

    async def async_check(self, destination: Destination) -> None:
        """Check the path to an upstream whose response was lost, in the background."""
        ...

    async def async_confirm_refusal(self, sent: SentRequest) -> bool:
        """Return whether other hosts' connections to an upstream are refused as well.

        Without other hosts there is no doubt, and the result is True.
        """
        ...


class DirectConnector:
    """Connects directly only."""

    def __init__(self, connections: ConnectionPool) -> None:
        self._connections = connections

    async def async_acquire(
        self, destination: Destination, timeout: float
    ) -> Connected:
        """Return a direct connection; raise ConnectRefusedError."""
        address = destination.address
        return Connected(await self._connections.async_acquire(address, timeout))

    async def async_release(self, address: str, connected: Connected) -> None:
        """Keep a connection after its exchange, or close it."""
        await self._connections.async_release(address, connected.client)

    async def async_check(self, destination: Destination) -> None:
        """Do nothing, as there is no other way."""

    async def async_confirm_refusal(self, sent: SentRequest) -> bool:
        """Return True, as no other host is asked."""
        return True


class RelayedConnector:
    """Connects directly, or by a tunnel through another entry host.

    Where the path of this host has failed, a tunnel is opened at once. Otherwise it is
    opened beside a direct connection that is not established in HEDGE_SECONDS; the
    first way that is open is used. The request is sent after that, and by this host
    only, so trying several ways never sends it twice.
    """

    def __init__(
        self,
        host: str,
        connections: ConnectionPool,
        links: Links,
        directory: DirectoryView,
        paths: HostPaths,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._host = host
        self._connections = connections
        self._links = links
        self._directory = directory
        self._paths = paths
        self._clock = clock
        self._metrics = metrics
        self._checking: set[str] = set()

    async def async_acquire(
        self, destination: Destination, timeout: float
    ) -> Connected:
        """Return a connection by any way; raise ConnectRefusedError."""
        now = self._clock.now()
        address = destination.address
        kept = await self._connections.async_take_idle(
            address, self._paths.trusted_since(now)
        )
        if kept is not None:
            return Connected(kept)
        if self._paths.is_failed(address):
            self._paths.record_use(address, now)
            return await self._async_relayed(destination, "the path has failed")
        return await self._async_first_way(destination, timeout)

    async def async_release(self, address: str, connected: Connected) -> None:
        """Keep a direct connection after its exchange, close any other."""
        if connected.relay:
            await connected.client.async_close()
            return
        await self._connections.async_release(address, connected.client)

    async def async_check(self, destination: Destination) -> None:
        """Check the path to an upstream whose response was lost, in the background."""
        await self._async_probe_in_background(destination)

    async def async_confirm_refusal(self, sent: SentRequest) -> bool:
        """Return whether connections of other hosts to an upstream are refused.

        They are if one host says so and none of MAX_RELAYS hosts is connected.
        """
        destination = Destination(sent.request_id, sent.upstream, sent.address)
        relays = self._relays(destination)
        if not relays:
            return True
        async with curio.TaskGroup() as group:
            for relay in relays:
                await group.spawn(self._async_relay_status, destination, relay)
        statuses = group.results
        return const.STATUS_REFUSED in statuses and const.STATUS_OK not in statuses

    async def _async_relay_status(
        self, destination: Destination, relay: RelayCandidate
    ) -> str:
        try:
            sock = await async_open_tunnel(self._links, relay.address, destination)
        except TunnelError as error:
            return error.status
        await sock.close()
        return const.STATUS_OK

    async def async_probe_failed_paths(self) -> None:
        """Probe the failed paths that requests need, until cancelled."""
        while True:
            await curio.sleep(const.PROBE_CHECK_SECONDS)
            for address, upstream in self._paths.due_probes(self._clock.now()):
                await self._async_probe_in_background(
                    Destination("", upstream, address)
                )

    async def _async_probe_in_background(self, destination: Destination) -> None:
        if destination.address in self._checking:
            return
        self._checking.add(destination.address)
        await curio.spawn(self._async_probe, destination, daemon=True)

    async def _async_probe(self, destination: Destination) -> None:
        try:
            client = await self._async_direct(destination, const.PROBE_SECONDS)
            await client.async_close()
        except ConnectRefusedError:
            return
        finally:
            self._checking.discard(destination.address)

    async def _async_first_way(
        self, destination: Destination, timeout: float
    ) -> Connected:
        """Return the first way that is open: the direct one, or after a time another.

        The direct attempt goes on in any case, so that its result is known.
        """
        results: curio.Queue = curio.Queue()
        decided = curio.Event()
        await curio.spawn(
            self._async_try_direct, destination, timeout, results, decided, daemon=True
        )
        suspect = self._paths.is_suspect(self._clock.now())
        hedge = const.SUSPECT_HEDGE_SECONDS if suspect else const.HEDGE_SECONDS
        try:
            result = None
            async with curio.ignore_after(hedge):
                result = await results.get()
            if isinstance(result, ClientExchange):
                return Connected(result)
            if result is not None:
                return await self._async_relayed(destination, result.text)
            return await self._async_relayed(
                destination, f"no connection in {hedge} s", results
            )
        finally:
            await decided.set()
            await self._async_close_late(results)

    async def _async_try_direct(
        self,
        destination: Destination,
        timeout: float,
        results: curio.Queue,
        decided: curio.Event,
    ) -> None:
        try:
            client = await self._async_direct(destination, timeout)
        except ConnectRefusedError as error:
            await results.put(error)
            return
        if decided.is_set():
            await self._connections.async_release(destination.address, client)
            return
        await results.put(client)

    async def _async_direct(
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

    async def _async_relayed(
        self,
        destination: Destination,
        why: str,
        direct: curio.Queue | None = None,
    ) -> Connected:
        """Return the first tunnel that is open, or a direct connection if it is sooner.

        direct delivers the result of a direct attempt that is still in progress. Each
        host gets HEDGE_SECONDS before the next one is tried beside it.
        """
        results = direct if direct is not None else curio.Queue()
        pending = int(direct is not None)
        relays = self._relays(destination)
        errors = [why]
        tasks: list[curio.Task] = []
        try:
            for relay in itertools.chain(relays, itertools.repeat(None)):
                if relay is not None:
                    tasks.append(
                        await curio.spawn(
                            self._async_try_relay,
                            destination,
                            relay,
                            results,
                            daemon=True,
                        )
                    )
                    pending += 1
                if not pending:
                    raise ConnectRefusedError("; ".join(errors))
                result = None
                async with curio.ignore_after(const.HEDGE_SECONDS):
                    result = await results.get()
                if result is None:
                    continue
                pending -= 1
                if isinstance(result, Connected):
                    return result
                if isinstance(result, ClientExchange):
                    return Connected(result)
                errors.append(result.text)
        finally:
            for task in tasks:
                await task.cancel()
            await self._async_close_late(results)
        raise AssertionError("unreachable")

    async def _async_try_relay(
        self, destination: Destination, relay: RelayCandidate, results: curio.Queue
    ) -> None:
        began = self._clock.now()
        try:
            sock = await async_open_tunnel(self._links, relay.address, destination)
        except TunnelError as error:
            now = self._clock.now()
            self._metrics.count(const.METRIC_FAILED)
            self._paths.record_relay(destination.address, relay.name, False, now)
            log_tunnel(destination, relay.name, error.status, error.text, now - began)
            await results.put(error)
            return
        now = self._clock.now()
        self._metrics.count(const.METRIC_OPENED)
        self._paths.record_relay(destination.address, relay.name, True, now)
        log_tunnel(destination, relay.name, const.STATUS_OK, "", now - began)
        client = ClientExchange(sock, self._connections.allow_close_delimited)
        await results.put(Connected(client, relay.name))

    def _relays(self, destination: Destination) -> list[RelayCandidate]:
        """Return the entry hosts to try, the most likely one first.

        Those that the owner named follow the ones that reached the upstream for this
        host and precede all others.
        """
        candidates = [
            RelayCandidate(name, host.address, host.zone)
            for name, host in self._directory.hosts_by_name.items()
            if name != self._host and ROLE_ENTRY in host.roles
        ]
        ranked = self._paths.rank_relays(
            destination.address, candidates, destination.relays, self._clock.now()
        )
        return ranked[: const.MAX_RELAYS]

    async def _async_close_late(self, results: curio.Queue) -> None:
        """Close the connections that were opened beside the one that is used."""
        while not results.empty():
            result = await results.get()
            if isinstance(result, Connected):
                await result.client.async_close()
            elif isinstance(result, ClientExchange):
                await result.async_close()
