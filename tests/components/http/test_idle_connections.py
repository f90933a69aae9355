"""Idle connections end at the limits in force, not at those of before."""

from typing import Any

import curio
import pytest

from tests.components.http.builders import LIMITS, async_read, serving

GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


async def async_ok(exchange: Any) -> None:
    await exchange.async_respond(200, [], b"")


def served(limits: list[float], idle: float) -> int:
    """Return how many of two requests are served, some seconds apart.

    The connection becomes idle under the first limit; the others follow at once.
    """

    async def async_main() -> int:
        first, *others = [LIMITS._replace(keep_alive=limit) for limit in limits]
        async with serving(async_ok, first) as (server, port):
            sock = await curio.open_connection("127.0.0.1", port)
            async with sock:
                await sock.sendall(GET)
                received = await sock.recv(65536)
                for later in others:
                    await curio.sleep(0.05)
                    server.set_limits(later)
                await curio.sleep(idle - 0.05 * len(others))
                try:
                    await sock.sendall(GET)
                    received += await sock.recv(65536)
                except ConnectionError:
                    return 1
        return received.count(b"HTTP/1.1 200")

    return curio.run(async_main)


def test_raised_limit_holds_for_a_connection_that_is_idle_already():
    """A request is sent into a connection that closes at the limit of before."""
    assert served([0.4, 3.0], 0.8) == 2


def test_limit_that_was_raised_for_a_moment_holds_for_a_connection_idle_then():
    assert served([0.4, 3.0, 0.4], 0.8) == 2


def test_lowered_limit_leaves_an_idle_connection_its_time():
    assert served([2.0, 0.2], 0.8) == 2


@pytest.mark.parametrize("limits", [[0.4], [0.2, 0.5]])
def test_idle_connection_ends_at_the_limit_in_force(limits):
    assert served(limits, 1.2) == 1


def test_empty_lines_now_and_then_do_not_put_off_the_end():
    """A caller that sends an empty line now and then holds an idle connection."""

    async def async_main() -> tuple[bytes, float]:
        async with serving(async_ok, LIMITS._replace(keep_alive=0.4)) as (_, port):
            sock = await curio.open_connection("127.0.0.1", port)
            async with sock:

                async def async_send_lines() -> None:
                    while True:
                        await sock.sendall(b"\r\n")
                        await curio.sleep(0.05)

                await sock.sendall(GET)
                began = await curio.clock()
                sending = await curio.spawn(async_send_lines, daemon=True)
                received = await async_read(sock)
                await sending.cancel()
                return received, await curio.clock() - began

    received, seconds = curio.run(async_main)
    assert received.count(b"HTTP/1.1") == 1
    assert seconds < 1.5
