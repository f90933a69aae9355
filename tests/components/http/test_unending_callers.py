"""Callers whose bytes never end, or who read nothing, don't keep a host from others."""

from typing import Any

import curio

from tests.components.http.builders import LIMITS, async_read, serving
from tests.components.http.unending import counting_turns

GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
PATIENT = LIMITS._replace(head_timeout=5.0, keep_alive=5.0, write_timeout=5.0)


def test_pipelined_requests_are_served_in_turn_with_other_tasks():
    """Requests that are refused without a wait, sent at once, stop the host."""
    requests = 500
    turns_of_requests = set()

    async def async_main() -> None:
        async with counting_turns() as counter:

            async def async_refuse(exchange: Any) -> None:
                turns_of_requests.add(counter.turns)
                await exchange.async_respond(404, [], b"no route\n")

            async with serving(async_refuse, PATIENT) as (_, port):
                sock = await curio.open_connection("127.0.0.1", port)
                async with sock:
                    await sock.sendall(GET * requests)
                    await sock.shutdown(1)
                    received = await async_read(sock)
        assert received.count(b"HTTP/1.1 404") == requests

    curio.run(async_main)
    assert len(turns_of_requests) >= requests - 1
