"""A response that ends with its connection waits for the rest of its request."""

from typing import Any

import curio
import pytest
from curio import socket

from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.const import DELIVERY_SECONDS
from bitterntiller.components.http.errors import IncompleteResponseError

UPLOAD = b"x" * 400_000
READ_BYTES = 65536
READ_PAUSE = 0.05
"""Seconds between reads; in all they take longer than DELIVERY_SECONDS."""

BUSY = 0.8
"""Seconds by which an end may be late on a machine with other work."""


async def async_ask(reads: int) -> tuple[bytes, float]:
    """Return a body and the seconds until its end; its upstream reads some times."""

    async def async_respond(listener: Any) -> None:
        sock, _ = await listener.accept()
        async with sock:
            await sock.recv(1000)
            await sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nleaf")
            await sock.shutdown(socket.SHUT_WR)
            for _ in range(reads):
                await curio.sleep(READ_PAUSE)
                if not await sock.recv(READ_BYTES):
                    return
            await curio.sleep(10.0)

    listener = curio.tcp_server_socket("127.0.0.1", 0)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    async with listener:
        task = await curio.spawn(async_respond, listener)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        exchange = await ClientExchange.async_open(address, 1.0, True)
        began = await curio.clock()
        try:
            await exchange.async_request("POST", "/", [], UPLOAD, 1.0)
            await exchange.async_head(1.0)
            body = await exchange.async_body(30.0, 1000)
            return body, await curio.clock() - began
        except IncompleteResponseError as error:
            assert "not received" in error.text
            return b"", await curio.clock() - began
        finally:
            await exchange.async_close()
            await task.cancel()


def test_response_whose_upstream_reads_the_request_slowly_is_whole():
    """An early response was lost if its upstream took long to read the request."""
    body, seconds = curio.run(async_ask, 100_000)
    assert body == b"leaf"
    assert seconds > DELIVERY_SECONDS


@pytest.mark.parametrize("reads", [0, 3])
def test_response_whose_upstream_stops_reading_the_request_is_incomplete(reads):
    """A response must not end as if whole, nor be held until its deadline."""
    body, seconds = curio.run(async_ask, reads)
    assert body == b""
    assert seconds < DELIVERY_SECONDS + BUSY + reads * READ_PAUSE


async def async_ask_closing(size: int) -> bytes:
    """Return a body whose upstream has the request in its kernel, and closes then."""

    async def async_respond(listener: Any) -> None:
        sock, _ = await listener.accept()
        async with sock:
            await sock.recv(100)
            await curio.sleep(0.1)
            await sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nle")
            await sock.shutdown(socket.SHUT_WR)

    async with curio.tcp_server_socket("127.0.0.1", 0) as listener:
        task = await curio.spawn(async_respond, listener)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        exchange = await ClientExchange.async_open(address, 1.0, True)
        try:
            await exchange.async_request("POST", "/", [], b"x" * size, 1.0)
            await exchange.async_head(1.0)
            return await exchange.async_body(5.0, 1000)
        except IncompleteResponseError:
            return b""
        finally:
            await exchange.async_close()
            await task.join()


def test_response_whose_upstream_closes_with_the_request_unread_is_incomplete():
    """A reset that followed the end was missed as all bytes were acknowledged."""
    assert curio.run(async_ask_closing, 40_000) == b""
