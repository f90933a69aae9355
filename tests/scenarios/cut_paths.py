"""Sockets whose paths to some ports are cut while a file says so.

The file holds the mode and the ports. The modes are silent (new connections hang, open
ones carry nothing), reset (new ones are refused, open ones reset), refuse (new ones are
refused, open ones go on), swallow-request (connections open; a request is lost on its
way, and its connection reset) and swallow-response (the request arrives, its response
is lost, and its connection reset). The kernel's timeouts are emulated: a connection
with TCP_USER_TIMEOUT that has carried nothing for that time fails.
"""

import socket as system_socket
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import curio
from curio import io

SILENT = "silent"
RESET = "reset"
REFUSE = "refuse"
SWALLOW_REQUEST = "swallow-request"
SWALLOW_RESPONSE = "swallow-response"
CONNECTING = frozenset({SWALLOW_REQUEST, SWALLOW_RESPONSE})
"""Modes in which connections open as on a sound path."""

FOREVER = 3600.0
CHECK_SECONDS = 0.02


def write_cut(path: Path, mode: str, ports: Iterable[int]) -> None:
    """Cut the paths to some ports for the process that reads the file."""
    part = path.with_suffix(".part")
    part.write_text(" ".join([mode, *map(str, ports)]))
    part.replace(path)


class Cut:
    """The cut that a file describes, if there is one."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def mode(self, address: Any) -> str:
        """Return how the path to an address is cut, empty if it is not."""
        if address is None:
            return ""
        try:
            mode, *ports = self._path.read_text().split()
        except FileNotFoundError:
            return ""
        return mode if str(address[1]) in ports else ""


class CutSocket(io.Socket):
    """A socket that behaves as its path does; cut is set by install()."""

    cut: Cut
    _peer: Any = None
    _silent_since: float | None = None
    _swallowed = False

    async def connect(self, address: Any) -> Any:
        mode = self.cut.mode(address)
        if mode == SILENT:
            await curio.sleep(FOREVER)
        if mode and mode not in CONNECTING:
            raise ConnectionRefusedError("the path is cut")
        self._peer = address
        return await super().connect(address)

    async def sendall(self, data: Any, flags: int = 0) -> Any:
        if not self._carries():
            return None
        mode = self.cut.mode(self._peer)
        self._swallowed = self._swallowed or mode in CONNECTING
        if mode == SWALLOW_REQUEST:
            return None
        return await super().sendall(data, flags)

    async def recv(self, maxsize: int, flags: int = 0) -> Any:
        if self._peer is None:
            return await super().recv(maxsize, flags)
        while True:
            if self._swallowed:
                raise ConnectionResetError("the path was cut under a request")
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


def install(path: Path) -> None:
    """Make all sockets of this process connect through the cut of a file."""
    CutSocket.cut = Cut(path)
    curio.socket.socket = lambda *args, **options: CutSocket(
        system_socket.socket(*args, **options)
    )
