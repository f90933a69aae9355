"""Tests of the pool of connections to upstreams."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import curio

from bitterntiller.components.http import const
from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.pool import ConnectionPool
from bitterntiller.core.clock import ManualClock

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


@asynccontextmanager
async def idle_connections(
    count: int,
) -> AsyncIterator[tuple[ConnectionPool, str, list[ClientExchange]]]:
    """Yield a pool, an address and its idle connections, the oldest one first."""

    async def async_answer(sock: Any, _address: Any) -> None:
        while await sock.recv(65536):
            await sock.sendall(ANSWER)

    listener = curio.tcp_server_socket("127.0.0.1", 0)
    server = await curio.spawn(curio.network.run_server, listener, async_answer)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    pool = ConnectionPool(ManualClock(), max_idle=count)
    try:
        clients = [await pool.async_open(address, 1.0) for _ in range(count)]
        for client in clients:
            await client.async_request("GET", "/", [], b"", 1.0, close=False)
            await client.async_head(1.0)
            await client.async_body(1.0, 0)
            await pool.async_release(address, client)
        yield pool, address, clients
    finally:
        await pool.async_close()
        await server.cancel()


def test_connection_that_has_carried_a_request_is_left_to_others():
    """A request is sent again on a connection where a copy of its response may come."""

    async def async_main() -> tuple[list[int], list[int]]:
        async with idle_connections(3) as (pool, address, clients):
            clients[0].record_request("r1")
            clients[2].record_request("r1")
            taken = [
                await pool.async_take_idle(address, request_id="r1"),
                await pool.async_take_idle(address, request_id="r1"),
                await pool.async_take_idle(address, request_id="r2"),
                await pool.async_take_idle(address, request_id="r2"),
            ]
            found = [clients.index(item) if item else -1 for item in taken]
            for client in filter(None, taken):
                await client.async_close()
            return found, list(pool.idle_by_address().values())

    assert curio.run(async_main) == ([1, -1, 2, 0], [0])


def test_connection_carries_a_bounded_number_of_requests():
    """It keeps a hash of the id of each."""

    async def async_main() -> tuple[int, int]:
        async with idle_connections(1) as (pool, address, clients):
            clients[0].exchanges = const.MAX_EXCHANGES - 1
            for _ in range(2):
                client = await pool.async_acquire(address, 1.0)
                await client.async_request("GET", "/", [], b"", 1.0, close=False)
                await client.async_head(1.0)
                await client.async_body(1.0, 0)
                await pool.async_release(address, client)
            return clients[0].exchanges, client.exchanges

    assert curio.run(async_main) == (const.MAX_EXCHANGES, 1)
