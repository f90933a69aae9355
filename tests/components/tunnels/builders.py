"""Builders of hosts on loopback that send through each other, and of upstreams."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any, NamedTuple

import curio

from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.errors import ConnectRefusedError
from bitterntiller.components.http.pool import ConnectionPool
from bitterntiller.components.links.coordinator import LinkCoordinator
from bitterntiller.components.node.models import Host
from bitterntiller.components.paths.host_paths import HostPaths
from bitterntiller.components.tunnels import const
from bitterntiller.components.tunnels.client import Destination
from bitterntiller.components.tunnels.direct import DirectPaths
from bitterntiller.components.tunnels.relayed import RelayedConnector
from bitterntiller.components.tunnels.relays import Relays
from bitterntiller.components.tunnels.server import TunnelServer
from bitterntiller.core.clock import RuntimeClock
from tests.components.entry.fakes import FakeMetrics
from tests.components.links.builders import serving

CLOSE_DELIMITED = b"HTTP/1.1 200 OK\r\n\r\nall of it"
WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall of it"
HANGS = "hangs"
REFUSES = "refuses"


class PathConnections(ConnectionPool):
    """Direct connections of one host; mode says how they fail, empty if they don't."""

    def __init__(self) -> None:
        super().__init__(RuntimeClock(), max_idle=4, allow_close_delimited=True)
        self.mode = ""

    async def async_open(self, address: str, timeout: float) -> ClientExchange:
        self.opened += 1
        if self.mode == HANGS:
            await curio.sleep(timeout)
            raise ConnectRefusedError(f"{address}: hangs") from TimeoutError()
        if self.mode == REFUSES:
            raise ConnectRefusedError(
                f"{address}: refused"
            ) from ConnectionRefusedError()
        return await ClientExchange.async_open(address, timeout, True)


class Directory:
    def __init__(self) -> None:
        self.hosts_by_name: dict[str, Host] = {}


class TunnelHost(NamedTuple):
    """A host that sends through others and carries their tunnels."""

    name: str
    links: LinkCoordinator
    connections: PathConnections
    paths: HostPaths
    connector: RelayedConnector
    directory: Directory
    server: TunnelServer
    metrics: FakeMetrics


@asynccontextmanager
async def hosts(*names: str) -> AsyncIterator[list[TunnelHost]]:
    """Run some hosts that know each other; the first one is in another zone."""
    directory = Directory()
    clock = RuntimeClock()
    found = []
    async with AsyncExitStack() as stack:
        for name in names:
            links, _ = await stack.enter_async_context(serving(name))
            zone = "bole" if name == names[0] else "yeka"
            directory.hosts_by_name[name] = Host(
                name, links.own.address, zone, "i", ("entry",)
            )
            connections = PathConnections()
            paths = HostPaths(zone)
            metrics = FakeMetrics()
            direct = DirectPaths(connections, paths, clock)
            relays = Relays(name, links, directory, paths, clock, metrics)
            connector = RelayedConnector(connections, direct, relays, paths, clock)
            server = TunnelServer(clock, metrics, paths)
            links.handle_streams(const.PURPOSE, server.async_serve)
            prober = await curio.spawn(direct.async_probe_failed_paths)
            stack.push_async_callback(prober.cancel)
            stack.push_async_callback(connections.async_close)
            found.append(
                TunnelHost(
                    name,
                    links,
                    connections,
                    paths,
                    connector,
                    directory,
                    server,
                    metrics,
                )
            )
        yield found


class Upstream(NamedTuple):
    """An upstream on loopback, with the requests and open connections it has."""

    address: str
    requests: list[bytes]
    open: set[int]

    def destination(self) -> Destination:
        return Destination("r1", "e1", self.address)


Answer = Callable[[Any], Awaitable[None]]
"""Sends a response on a connection after a request has arrived."""


def sending(data: bytes) -> Answer:
    async def async_answer(sock: Any) -> None:
        await sock.sendall(data)

    return async_answer


@asynccontextmanager
async def upstream(answer: Answer) -> AsyncIterator[Upstream]:
    """Run an upstream that responds once on each connection and closes it."""
    async with AsyncExitStack() as stack:
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        stack.push_async_callback(listener.close)
        made = Upstream(f"127.0.0.1:{listener.getsockname()[1]}", [], set())

        async def async_one(sock: Any) -> None:
            number = sock.fileno()
            made.open.add(number)
            try:
                async with sock:
                    data = await sock.recv(65536)
                    if data:
                        made.requests.append(data)
                        await answer(sock)
            except OSError:
                return
            finally:
                made.open.discard(number)

        async def async_accept() -> None:
            while True:
                sock, _ = await listener.accept()
                await curio.spawn(async_one, sock, daemon=True)

        task = await curio.spawn(async_accept)
        stack.push_async_callback(task.cancel)
        yield made


async def async_ask(client: ClientExchange, close: bool = True) -> tuple[int, bytes]:
    """Send a request and return status and body; raise IncompleteResponseError."""
    await client.async_request("POST", "/tiles", [], b"{}", 2.0, close)
    head = await client.async_head(2.0)
    body = b""
    while (data := await client.async_data(2.0)) is not None:
        body += data
    return head.status, body
