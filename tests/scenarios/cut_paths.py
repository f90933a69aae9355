"""Sockets whose paths to some ports are cut while a file says so.

The file holds the mode and the ports. The modes are silent (new connections hang, open
ones carry nothing), reset (new ones are refused, open ones reset), refuse (new ones are
refused, open ones go on), and those in which connections open as on a sound path:
swallow-request (a request is lost on its way, and its connection reset),
swallow-response (it arrives, its response is lost, and its connection reset),
silent-request (it is lost, and nothing more comes), silent-large (so are requests of
over PACKET_BYTES, smaller ones pass), truncate (a response is reset behind the first
byte of its body) and foreign-answer (something between answers in place of the
upstream). For peers there is also outlive: as silent, but open connections stay silent
after it, without a reset, until a timeout of this host or the kernel ends them. The
kernel's timeouts are emulated: a connection with TCP_USER_TIMEOUT that has carried
nothing for that time fails.
"""

import socket as system_socket
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import curio
from curio import io

from bitterntiller.core.timeouts import ignore_after

SILENT = "silent"
RESET = "reset"
REFUSE = "refuse"
SWALLOW_REQUEST = "swallow-request"
SWALLOW_RESPONSE = "swallow-response"
SILENT_REQUEST = "silent-request"
SILENT_LARGE = "silent-large"
TRUNCATE = "truncate"
FOREIGN_ANSWER = "foreign-answer"
OUTLIVE = "outlive"
CONNECTING = frozenset(
    {
        SWALLOW_REQUEST,
        SWALLOW_RESPONSE,
        SILENT_REQUEST,
        SILENT_LARGE,
        TRUNCATE,
        FOREIGN_ANSWER,
    }
)
"""Modes in which connections open as on a sound path."""

MODES = CONNECTING | {SILENT, RESET, REFUSE}
RESETTING = frozenset({SWALLOW_REQUEST, SWALLOW_RESPONSE})
"""Modes in which a connection is reset once a request was sent."""

PACKET_BYTES = 1400
HEAD_END = b"\r\n\r\n"
ANSWER_BETWEEN = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"

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
    _reset = False
    _outlived = False
    _stalled = False
    _head_arrived = False
    _answer = b""

    async def connect(self, address: Any) -> Any:
        mode = self.cut.mode(address)
        if mode in (SILENT, OUTLIVE):
            await curio.sleep(FOREVER)
        if mode and mode not in CONNECTING:
            raise ConnectionRefusedError("the path is cut")
        self._peer = address
        return await super().connect(address)

    async def sendall(self, data: Any, flags: int = 0) -> Any:
        if not self._carries():
            return None
        mode = self.cut.mode(self._peer)
        self._reset = self._reset or mode in RESETTING
        self._stalled = self._stalled or mode == SILENT_REQUEST
        self._stalled = self._stalled or (
            mode == SILENT_LARGE and len(data) > PACKET_BYTES
        )
        self._head_arrived = False
        if mode == FOREIGN_ANSWER:
            self._answer = ANSWER_BETWEEN
        if mode == SWALLOW_REQUEST or self._stalled or self._answer:
            return None
        return await super().sendall(data, flags)

    async def recv(self, maxsize: int, flags: int = 0) -> Any:
        if self._peer is None:
            return await super().recv(maxsize, flags)
        while True:
            if self._reset:
                raise ConnectionResetError("the path was cut under a request")
            if self._answer:
                answer, self._answer = self._answer, b""
                return answer
            if self._stalled or not self._carries():
                await curio.sleep(CHECK_SECONDS)
                continue
            async with ignore_after(CHECK_SECONDS):
                return self._truncated(await super().recv(maxsize, flags))

    def _truncated(self, data: bytes) -> bytes:
        """Return what arrives of a part of a response."""
        if self.cut.mode(self._peer) != TRUNCATE:
            return data
        head, end, body = data.partition(HEAD_END)
        if self._head_arrived:
            head, end, body = b"", b"", data
        self._head_arrived = self._head_arrived or bool(end)
        if not body:
            return data
        self._reset = True
        return head + end + body[:1]

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
        self._outlived = self._outlived or mode == OUTLIVE
        if mode == SILENT or self._outlived:
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
