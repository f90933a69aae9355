"""Tests of closing the listener."""

import socket
from contextlib import AsyncExitStack
from typing import Any

import curio

from bitterntiller.core.listener import Listener
from bitterntiller.core.turns import TURN_READS
from tests.core.unending import counting_turns


class _Runtime:
    async def async_fail(self, error: BaseException) -> None:
        raise error


def test_closing_during_accept_keeps_open_connections():
    """Closing the listener must not cut responses that are in progress.

    The listening socket was closed while a task waited on it, which ended curio's
    kernel and the process in the middle of its responses.
    """

    async def async_echo(sock: Any) -> None:
        while data := await sock.recv(100):
            await sock.sendall(data)

    async def async_main() -> bytes:
        listener = Listener("127.0.0.1", 0, async_echo)
        port = listener.port
        served = await curio.spawn(listener.async_serve, _Runtime())
        sock = await curio.open_connection("127.0.0.1", port)
        async with sock:
            await sock.sendall(b"before")
            assert await sock.recv(100) == b"before"
            await listener.async_close()
            await curio.sleep(0.05)
            await sock.sendall(b"after")
            response = await sock.recv(100)
        await served.cancel()
        return response

    assert curio.run(async_main) == b"after"


def test_connections_that_wait_are_accepted_in_turn_with_other_tasks():
    """Connections that are opened without pause stop the host that accepts them."""
    connections = 320
    turns_of_connections = set()

    async def async_main() -> None:
        async with counting_turns() as counter, AsyncExitStack() as stack:

            async def async_handle(sock: Any) -> None:
                turns_of_connections.add(counter.turns)

            listener = Listener("127.0.0.1", 0, async_handle)
            for _ in range(connections):
                sock = stack.enter_context(socket.socket())
                sock.connect(("127.0.0.1", listener.port))
            task = await curio.spawn(listener.async_serve, _Runtime())
            await curio.sleep(0.5)
            await task.cancel()

    curio.run(async_main)
    assert len(turns_of_connections) >= connections / TURN_READS - 1
