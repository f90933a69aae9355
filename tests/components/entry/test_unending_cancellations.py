"""The response to a cancellation has a bound: an upstream may send it without end."""

import curio

from bitterntiller.components.entry.upstream_calls import async_cancel_work
from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.pool import ConnectionPool
from bitterntiller.components.tunnels.client import Destination
from bitterntiller.components.tunnels.connector import Connected, DirectConnector
from bitterntiller.core.clock import RuntimeClock
from tests.components.http.raw_upstream import endless_upstream

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 10000000000\r\n\r\n"
MOST_BYTES = 256 * 1024


class KeptConnector(DirectConnector):
    """A connector that remembers its connections."""

    clients: list[ClientExchange]

    async def async_acquire(
        self, destination: Destination, timeout: float, repeatable: bool = False
    ) -> Connected:
        connected = await super().async_acquire(destination, timeout, repeatable)
        self.clients = [connected.client]
        return connected


def test_response_to_a_cancellation_is_not_kept_without_bound():
    """64 MiB were kept of each response, of many cancellations at once."""

    async def async_main(address: str) -> tuple[bool, int]:
        connector = KeptConnector(ConnectionPool(RuntimeClock()))
        destination = Destination("r1", "e1", address)
        confirmed = await async_cancel_work(destination, connector)
        return confirmed, connector.clients[0].received_bytes

    with endless_upstream(HEAD, bytes(65536)) as address:
        confirmed, received = curio.run(async_main, address)
    assert not confirmed
    assert received <= MOST_BYTES
