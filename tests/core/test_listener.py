"""The listener of a process that stops."""

from typing import Any

import curio

from bitterntiller.core.listener import Listener


class _Runtime:
    async def async_fail(self, error: BaseException) -> None:
        raise error


def test_listener_closed_while_it_accepts_leaves_connections_alone():
    """A stopping host cuts all its answers at the moment when it takes no new callers.

    The listening socket was closed while a task waited on it, which ended the kernel of
    tasks and with it the process, in the middle of the answers.
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
            answer = await sock.recv(100)
        await served.cancel()
        return answer

    assert curio.run(async_main) == b"after"
