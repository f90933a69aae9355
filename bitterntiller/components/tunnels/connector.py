"""What opens connections to upstreams."""

from typing import NamedTuple, Protocol

from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.pool import ConnectionPool
from bitterntiller.components.paths.models import PathFault
from bitterntiller.components.tunnels.client import Destination
from bitterntiller.core.interfaces import ProcessProbes, SentRequest


class Connected(NamedTuple):
    """A connection to an upstream; relay is the host that it leads through, if any.

    acquired_at is when it was open for its exchange: the request is sent after that.
    """

    client: ClientExchange
    relay: str = ""
    acquired_at: float = 0.0


class Connector(ProcessProbes, Protocol):
    """Opens connections to upstreams."""

    async def async_acquire(
        self, destination: Destination, timeout: float, repeatable: bool = False
    ) -> Connected:
        """Return a connection; raise ConnectRefusedError, nothing was sent then.

        It is none that has carried a request with the same id. A repeatable request may
        be sent where its response can be lost.
        """
        ...

    async def async_release(self, address: str, connected: Connected) -> None:
        """Keep a connection after its exchange, or close it."""
        ...

    def record_answer(
        self, destination: Destination, connected: Connected, complete: bool
    ) -> None:
        """Record that an upstream's response has begun, or is complete."""
        ...

    async def async_record_fault(
        self, destination: Destination, connected: Connected, fault: PathFault
    ) -> None:
        """Record that a response was lost or truncated; check the path to it."""
        ...


class DirectConnector:
    """Connects directly only."""

    def __init__(self, connections: ConnectionPool) -> None:
        self._connections = connections

    async def async_acquire(
        self, destination: Destination, timeout: float, repeatable: bool = False
    ) -> Connected:
        """Return a direct connection; raise ConnectRefusedError."""
        address = destination.address
        client = await self._connections.async_acquire(
            address, timeout, destination.request_id
        )
        return Connected(client)

    async def async_release(self, address: str, connected: Connected) -> None:
        """Keep a connection after its exchange, or close it."""
        await self._connections.async_release(address, connected.client)

    def record_answer(
        self, destination: Destination, connected: Connected, complete: bool
    ) -> None:
        """Do nothing, as there is no other way."""

    async def async_record_fault(
        self, destination: Destination, connected: Connected, fault: PathFault
    ) -> None:
        """Do nothing, as there is no other way."""

    async def async_confirm_refusal(self, sent: SentRequest) -> bool:
        """Return True, as no other host is asked."""
        return True

    async def async_is_replaced(self, sent: SentRequest) -> bool:
        """Return False, as no process is asked."""
        return False
