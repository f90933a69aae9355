"""Sockets whose paths to one port are cut while a file says so.

The file holds the mode: silent (new connections hang, open ones carry nothing), reset
(new ones are refused, open ones reset) or refuse (new ones are refused, open ones go
on). The kernel's timeouts are emulated: a connection with TCP_USER_TIMEOUT that has
carried nothing for that time fails.
"""

import socket as system_socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import curio
from curio import io

SILENT = "silent"
RESET = "reset"
REFUSE = "refuse"
FOREVER = 3600.0
CHECK_SECONDS = 0.02


class Cut:
    """The mode in a file, empty without one, for connections to one port."""

    def __init__(self, path: Path, port: int) -> None:
        self._path = path
        self._port = port

    def mode(self, address: Any) -> str:
        """Return how the path to an address is cut."""
        if address is None or address[1] != self._port:
            return ""
        try:
            return self._path.read_text()
        except FileNotFoundError:
            return ""


class CutSocket(io.Socket):
    """A socket that behaves as its path does; cut is set by install()."""

    cut: Cut
    _peer: Any = None
    _silent_since: float | None = None

    async def connect(self, address: Any) -> Any:
        mode = self.cut.mode(address)
        if mode == SILENT:
            await curio.sleep(FOREVER)
        if mode:
            raise ConnectionRefusedError("the path is cut")
        self._peer = address
        return await super().connect(address)

    async def sendall(self, data: Any, flags: int = 0) -> Any:
        if not self._carries():
            return None
        return await super().sendall(data, flags)

    async def recv(self, maxsize: int, flags: int = 0) -> Any:
        if self._peer is None:
            return await super().recv(maxsize, flags)
        while True:
            if not self._carries():
                await curio.sleep(CHECK_SECONDS)
                continue
            async with curio.ignore_after(CHECK_SECONDS):
                return await super().recv(maxsize, flags)

    @contextmanager
    def blocking(self) -> Iterator[Any]:
        try:
            self._carries()
        except OSError:
            self._socket.shutdown(system_socket.SHUT_RDWR)
        with super().blocking() as sock:
            yield sock

    def _carries(self) -> bool:
        """Return whether bytes arrive; raise OSError once the connection has failed."""
        mode = self.cut.mode(self._peer)
        if mode == RESET:
            raise ConnectionResetError("the path is cut")
        if mode == SILENT:
            now = time.monotonic()
            self._silent_since = self._silent_since or now
            timeout = self._user_timeout()
            if timeout and now - self._silent_since > timeout:
                raise TimeoutError("nothing was acknowledged")
            return False
        if self._silent_since is not None:
            raise ConnectionResetError("bytes were lost during the cut")
        return True

    def _user_timeout(self) -> float:
        return (
            self._socket.getsockopt(
                system_socket.IPPROTO_TCP, system_socket.TCP_USER_TIMEOUT
            )
            / 1000
        )


def install(path: Path, port: int) -> None:
    """Make all sockets of this process connect through the cut of a file."""
    CutSocket.cut = Cut(path, port)
    curio.socket.socket = lambda *args, **options: CutSocket(
        system_socket.socket(*args, **options)
    )
