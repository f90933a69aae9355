"""A tunnel whose reader pauses is kept."""

from typing import Any

import curio

from bitterntiller.components.links import const
from tests.components.tunnels.builders import HANGS, hosts, upstream

BODY = b"x" * 20_000_000
PAUSE_SECONDS = const.KEEPALIVE_TIMEOUT + 2.0


def test_tunnel_outlives_a_reader_that_pauses():
    """A caller may stop reading for caller_write; the host between must not give up."""

    async def async_answer(sock: Any) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY)
        await sock.sendall(head + BODY)

    async def async_main() -> tuple[int, bytes]:
        async with hosts("a", "b") as (a, _), upstream(async_answer) as e:
            a.connections.mode = HANGS
            connected = await a.connector.async_acquire(e.destination(), 0.5)
            assert connected.relay == "b"
            await connected.client.async_request("POST", "/tiles", [], b"{}", 2.0)
            await curio.sleep(PAUSE_SECONDS)
            head = await connected.client.async_head(2.0)
            body = bytearray()
            while (data := await connected.client.async_data(2.0)) is not None:
                body += data
            return head.status, bytes(body)

    assert curio.run(async_main) == (200, BODY)
