"""Connect to an upstream directly, or through another host where that fails."""

import itertools

import curio

from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.errors import ConnectRefusedError
from bitterntiller.components.http.pool import ConnectionPool
from bitterntiller.components.paths.host_paths import HostPaths
from bitterntiller.components.paths.models import (
    CarriedBytes,
    PathFault,
    RelayCandidate,
)
from bitterntiller.components.tunnels import const
from bitterntiller.components.tunnels.checks import PathChecks
from bitterntiller.components.tunnels.client import Destination
from bitterntiller.components.tunnels.connector import Connected
from bitterntiller.components.tunnels.direct import DirectPaths
from bitterntiller.components.tunnels.errors import TunnelError
from bitterntiller.components.tunnels.relays import Relays
from bitterntiller.core.clock import Clock
from bitterntiller.core.interfaces import SentRequest
from bitterntiller.core.timeouts import ignore_after


class RelayedConnector:
    """Connects directly, or by a tunnel through another entry host.

    Where the path of this host has failed by more than a refusal, a tunnel is opened at
    once. Otherwise it is opened beside a direct connection that is not established in
    HEDGE_SECONDS; the first way that is open is used. The request is sent after that,
    and by this host only, so trying several ways never sends it twice.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        direct: DirectPaths,
        relays: Relays,
        checks: PathChecks,
        paths: HostPaths,
        clock: Clock,
    ) -> None:
        self._connections = connections
        self._direct = direct
        self._relays = relays
        self._checks = checks
        self._paths = paths
        self._clock = clock

    async def async_acquire(
        self, destination: Destination, timeout: float, repeatable: bool = False
    ) -> Connected:
        """Return a connection by any way; raise ConnectRefusedError.

        A repeatable request goes directly if the path is due to be tested.
        """
        address = destination.address
        await self._checks.async_settle(address)
        now = self._clock.now()
        around = self._paths.leads_around(address) and not self._paths.take_trial(
            address, repeatable, now
        )
        if not around or self._paths.fault(address) is PathFault.SILENT:
            kept = await self._connections.async_take_idle(
                address, self._paths.trusted_since(now), destination.request_id
            )
            if kept is not None:
                return self._connected(kept)
        self._paths.record_use(address, now)
        if not around:
            return await self._async_first_way(destination, timeout)
        try:
            return await self._async_relayed(destination, "the path has failed")
        except ConnectRefusedError:
            if self._would_lose(destination, repeatable):
                raise
            return self._connected(await self._direct.async_open(destination, timeout))

    def _connected(self, client: ClientExchange, relay: str = "") -> Connected:
        return Connected(client, relay, self._clock.now())

    def _would_lose(self, destination: Destination, repeatable: bool) -> bool:
        """Return whether a request would be lost on its direct way for certain.

        Without other hosts there is no better one.
        """
        fault = self._paths.fault(destination.address)
        if fault is PathFault.TRUNCATED and repeatable:
            return False
        lossy = fault in (PathFault.LOST, PathFault.TRUNCATED)
        return lossy and bool(self._relays.candidates(destination))

    async def async_release(self, address: str, connected: Connected) -> None:
        """Keep a direct connection after its exchange, close any other."""
        if connected.relay:
            await connected.client.async_close()
            return
        await self._connections.async_release(address, connected.client)

    def record_answer(
        self, destination: Destination, connected: Connected, complete: bool
    ) -> None:
        """Record that an upstream's response has begun, or is complete."""
        if connected.relay:
            self._relays.record_result(
                destination, connected.relay, True, connected.acquired_at
            )
            return
        client = connected.client
        received = client.received_bytes if complete else 0
        carried = CarriedBytes(client.sent_bytes, received)
        self._direct.record_carried(destination, carried, connected.acquired_at)

    async def async_record_fault(
        self, destination: Destination, connected: Connected, fault: PathFault
    ) -> None:
        """Record that a response was lost or truncated; check the path to it.

        A lost request must get through before its path counts as working again, and
        more than arrived of a truncated response.
        """
        if connected.relay:
            self._relays.record_result(
                destination, connected.relay, False, connected.acquired_at
            )
            return
        client = connected.client
        needed = CarriedBytes(client.sent_bytes, 0)
        if fault is PathFault.TRUNCATED:
            needed = CarriedBytes(0, client.received_bytes + 1)
        sent_at = connected.acquired_at
        await self._checks.async_start(destination, fault, needed, sent_at)

    async def async_confirm_refusal(self, sent: SentRequest) -> bool:
        """Return whether connections of other hosts to an upstream are refused."""
        destination = Destination(sent.request_id, sent.upstream, sent.address)
        return await self._relays.async_is_refused(destination)

    async def async_is_replaced(self, sent: SentRequest) -> bool:
        """Return whether another process answers at the address of an upstream."""
        return await self._direct.async_is_replaced(sent)

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
            async with ignore_after(hedge):
                result = await results.get()
            if isinstance(result, ClientExchange):
                return self._connected(result)
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
            client = await self._direct.async_open(destination, timeout)
        except ConnectRefusedError as error:
            await results.put(error)
            return
        if decided.is_set():
            await client.async_close()
            return
        await results.put(client)

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
        relays = self._relays.candidates(destination)
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
                async with ignore_after(const.HEDGE_SECONDS):
                    result = await results.get()
                if result is None:
                    continue
                pending -= 1
                if isinstance(result, Connected):
                    return result
                if isinstance(result, ClientExchange):
                    return self._connected(result)
                errors.append(result.text)
        finally:
            # A cancellation meanwhile would leave connections open.
            async with curio.disable_cancellation():
                for task in tasks:
                    await task.cancel()
                await self._async_close_late(results)
        raise AssertionError("unreachable")

    async def _async_try_relay(
        self, destination: Destination, relay: RelayCandidate, results: curio.Queue
    ) -> None:
        try:
            sock = await self._relays.async_open(destination, relay)
        except TunnelError as error:
            await results.put(error)
            return
        client = ClientExchange(sock, self._connections.allow_close_delimited, sock)
        await results.put(self._connected(client, relay.name))

    async def _async_close_late(self, results: curio.Queue) -> None:
        """Close the connections that were opened beside the one that is used."""
        while not results.empty():
            result = await results.get()
            if isinstance(result, Connected):
                await result.client.async_close()
            elif isinstance(result, ClientExchange):
                await result.async_close()
