"""Builders for a server on loopback and for raw callers."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import curio

from bitterntiller.components.http.server import HttpServer, ServerLimits
from bitterntiller.components.settings.models import Address
from tests.components.entry.fakes import FakeMetrics
from tests.components.links.builders import FailureRecorder, free_port

LIMITS = ServerLimits(
    head_bytes=8192,
    connections=10,
    head_timeout=0.3,
    keep_alive=0.3,
    write_timeout=1.0,
)


@asynccontextmanager
async def serving(
    handler: Callable[[Any], Any], limits: ServerLimits = LIMITS
) -> AsyncIterator[tuple[HttpServer, int]]:
    """Run a server with an exchange handler; yield the server and its port."""
    port = free_port()
    server = HttpServer(Address("127.0.0.1", port), limits, handler, FakeMetrics())
    task = await curio.spawn(server.async_serve, FailureRecorder())
    await curio.sleep(0.02)
    try:
        yield server, port
    finally:
        await task.cancel()


async def async_read(sock: Any) -> bytes:
    """Read until the server closes; append RESET after a connection reset."""
    parts = []
    try:
        while data := await sock.recv(65536):
            parts.append(data)
    except ConnectionError:
        parts.append(b"RESET")
    return b"".join(parts)


async def async_send(port: int, data: bytes) -> bytes:
    """Send bytes on a new connection and read until the server closes."""
    sock = await curio.open_connection("127.0.0.1", port)
    async with curio.timeout_after(10.0):
        await sock.sendall(data)
        response = await async_read(sock)
    await sock.close()
    return response
