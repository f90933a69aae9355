"""A TCP listener that serves each connection in a task."""

from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any

import curio
from absl import logging
from curio import socket

from bitterntiller.core.errors import BrokenInvariantError
from bitterntiller.core.runtime import Runtime
from bitterntiller.core.turns import Turns

ConnectionHandler = Callable[[Any], Awaitable[None]]

BACKLOG = 1024
ACCEPT_PAUSE = 0.05


class Listener:
    """Listens on one address and serves each connection in a task."""

    def __init__(self, ip: str, port: int, handler: ConnectionHandler) -> None:
        self._handler = handler
        self._sock = curio.tcp_server_socket(ip, port, backlog=BACKLOG)
        self._tasks: set[curio.Task] = set()
        self._runtime: Runtime | None = None
        self._accepting: curio.Task | None = None

    @property
    def port(self) -> int:
        """Return the port, which the system chose if 0 was requested."""
        return self._sock.getsockname()[1]

    async def async_serve(self, runtime: Runtime) -> None:
        """Accept connections until cancelled, then close all of them."""
        self._runtime = runtime
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._async_close_all)
            self._accepting = await curio.spawn(self._async_accept_loop, daemon=True)
            await curio.Event().wait()

    async def _async_accept_loop(self) -> None:
        turns = Turns()
        while True:
            sock = await self._async_accept()
            task = await curio.spawn(self._async_handle, sock, daemon=True)
            self._tasks.add(task)
            await turns.async_count(0)

    async def async_close(self) -> None:
        """Stop accepting; open connections continue.

        The accepting task is cancelled before the socket is closed: curio's kernel
        would fail on a closed file descriptor that a task waits on, and with it the
        process.
        """
        if self._accepting is not None:
            await self._accepting.cancel()
            self._accepting = None
        await self._sock.close()

    async def _async_accept(self) -> Any:
        """Return the next connection.

        accept() fails when no file descriptor is free. The error is caught here, since
        it would otherwise end the accept loop while the process kept running.
        """
        while True:
            try:
                sock, _address = await self._sock.accept()
            except OSError as error:
                logging.log_every_n_seconds(
                    logging.WARNING, "accept failed: %r", 10, error
                )
                await curio.sleep(ACCEPT_PAUSE)
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return sock

    async def _async_handle(self, sock: Any) -> None:
        try:
            async with sock:
                await self._handler(sock)
        except BrokenInvariantError as error:
            await self._runtime.async_fail(error)
        except Exception:
            logging.exception("connection handler failed")
        finally:
            self._tasks.discard(await curio.current_task())

    async def _async_close_all(self) -> None:
        await self.async_close()
        for task in list(self._tasks):
            await task.cancel()
