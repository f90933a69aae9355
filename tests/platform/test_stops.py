"""A stop cuts nothing before its grace ends, and each cut has a line with its cause."""

from typing import Any

import curio

from tests.core.event_recorder import recording
from tests.platform import builders
from tests.platform.builders import LAST_CHUNK, chunk, event
from tests.platform.test_cut_causes import ONCE


async def async_send_all(sock: Any, data: bytes, number: int) -> None:
    await sock.sendall(builders.STREAM_HEAD + chunk(event(1)) + LAST_CHUNK)


def test_request_that_arrives_as_the_stop_begins_is_served():
    """A cancellation of an idle connection must not reach the request behind it.

    The bytes have woken the connection's task when the drain cancels it, so that the
    cancellation is delivered in the middle of the request.
    """

    async def async_ask() -> tuple[bytes, int]:
        async with builders.entry_host(async_send_all, ONCE) as host:
            sock = await curio.open_connection("127.0.0.1", host.port)
            async with sock, curio.timeout_after(2.0):
                await sock.sendall(builders.request())
                while not (await sock.recv(65536)).endswith(LAST_CHUNK):
                    pass
                await curio.sleep(0.05)
                await sock.sendall(builders.request())
                await curio.sleep(0)
                await host.server.async_drain()
                received = b""
                while data := await sock.recv(65536):
                    received += data
                return received, len(host.requests)

    with recording() as recorded:
        received, _ = curio.run(async_ask)
    assert recorded.by_kind.get("response-cut", []) == []
    assert received.endswith(LAST_CHUNK)
