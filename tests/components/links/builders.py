"""Builders for links that listen on loopback."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import curio

from bitterntiller.components.links.coordinator import LinkCoordinator
from bitterntiller.components.links.models import Peer
from bitterntiller.components.settings.models import Address
from bitterntiller.core.clock import RuntimeClock
from tests.components.entry.fakes import FakeMetrics

KEY = b"key of the tests"


def free_port() -> int:
    """Return a port that is currently free."""
    sock = curio.tcp_server_socket("127.0.0.1", 0)
    port = sock.getsockname()[1]
    sock._socket.close()
    return port


def make_links(host: str, port: int, incarnation: str = "i") -> LinkCoordinator:
    """Return the links of a host, not yet listening on its port."""
    own = Peer(host, incarnation, f"127.0.0.1:{port}")
    listen = Address("127.0.0.1", port)
    return LinkCoordinator(own, listen, KEY, RuntimeClock(), FakeMetrics())


class FailureRecorder:
    """A fake runtime that records failures."""

    def __init__(self) -> None:
        self.failures: list[BaseException] = []

    async def async_fail(self, error: BaseException) -> None:
        self.failures.append(error)


@asynccontextmanager
async def serving(
    host: str, incarnation: str = "i", port: int = 0
) -> AsyncIterator[tuple[LinkCoordinator, FailureRecorder]]:
    """Serve links on loopback; close all connections on exit."""
    links = make_links(host, port or free_port(), incarnation)
    recorder = FailureRecorder()
    async with AsyncExitStack() as stack:
        stack.push_async_callback(links.async_close)
        task = await curio.spawn(links.async_serve, recorder)
        stack.push_async_callback(task.cancel)
        await curio.sleep(0.02)
        yield links, recorder
