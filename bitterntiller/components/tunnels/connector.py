"""What opens connections to upstreams."""

from typing import NamedTuple, Protocol

from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.pool import ConnectionPool
from bitterntiller.components.tunnels.client import Destination
from bitterntiller.core.interfaces import SentRequest


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
