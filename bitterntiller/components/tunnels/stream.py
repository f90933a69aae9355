"""The bytes in a tunnel.

Those of the upstream are sent in parts with their length, and a part of length 0 at
their orderly end. A host that dies closes its connections in order: without that part,
a response that ends with its connection would seem complete. Counts follow the end: how
many bytes of the request the upstream's kernel has acknowledged so far.
"""

from contextlib import AbstractContextManager
from typing import Any

from bitterntiller.components.tunnels.const import (
    COUNT_BYTES,
    DELIVERY_CHECK_SECONDS,
    LENGTH_BYTES,
    MAX_PART_BYTES,
    READ_BYTES,
)
from bitterntiller.core.tcp import reset_on_close
from bitterntiller.core.timeouts import ignore_after
from bitterntiller.core.turns import Turns

END = bytes(LENGTH_BYTES)


def pack_part(data: bytes) -> bytes:
    """Return a part with its length."""
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def pack_count(received: int) -> bytes:
    """Return the count of the bytes that an upstream has received."""
    return received.to_bytes(COUNT_BYTES, "big")


class TunnelSocket:
    """The sending end of a tunnel, used like the socket of a direct connection."""

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._buffer = bytearray()
        self._left = 0
        self._ended = False
        self._sent = 0
        self._received_by_upstream = 0
        self._turns = Turns()
        self._last_read_bytes = 0

    async def sendall(self, data: bytes) -> None:
        """Send bytes to the upstream; raise OSError."""
        await self._sock.sendall(data)
        self._sent += len(data)

    async def recv(self, size: int) -> bytes:
        """Return bytes of the upstream, none after their orderly end.

        Raise OSError if the tunnel breaks before. Other tasks run between reads whose
        bytes are there already, also between parts of one read.
        """
        await self._turns.async_count(self._last_read_bytes)
        data = await self._async_receive(size)
        self._last_read_bytes = len(data)
        return data

    async def async_undelivered(self) -> int:
        """Return how many sent bytes the upstream is not known to have received.

        Called after the upstream's end. Raise OSError if no further count comes.
        """
        self._read_counts()
        if self._received_by_upstream == self._sent:
            return 0
        await self.async_check_open()
        self._read_counts()
        return self._sent - self._received_by_upstream

    async def async_check_open(self) -> None:
        """Raise OSError if the tunnel broke after the upstream's end."""
        received = None
        async with ignore_after(DELIVERY_CHECK_SECONDS):
            received = await self._sock.recv(READ_BYTES)
        if received == b"":
            raise ConnectionResetError("the tunnel broke after the upstream's end")
        self._buffer += received or b""

    def _read_counts(self) -> None:
        """Keep the last of the counts that have arrived."""
        whole = len(self._buffer) // COUNT_BYTES * COUNT_BYTES
        if whole:
            last = self._buffer[whole - COUNT_BYTES : whole]
            self._received_by_upstream = int.from_bytes(last, "big")
            del self._buffer[:whole]

    async def _async_receive(self, size: int) -> bytes:
        while True:
            if self._ended:
                return b""
            if self._left and self._buffer:
                data = bytes(self._buffer[: min(size, self._left)])
                del self._buffer[: len(data)]
                self._left -= len(data)
                return data
            if not self._left and len(self._buffer) >= LENGTH_BYTES:
                self._read_length()
                continue
            received = await self._sock.recv(READ_BYTES)
            if not received:
                raise ConnectionResetError("the tunnel broke")
            self._buffer += received

    def _read_length(self) -> None:
        self._left = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        del self._buffer[:LENGTH_BYTES]
        if self._left > MAX_PART_BYTES:
            raise ConnectionResetError(f"a part of {self._left} bytes in a tunnel")
        self._ended = not self._left

    def blocking(self) -> AbstractContextManager[Any]:
        """Return the system's socket for a time, see curio.io.Socket.blocking."""
        return self._sock.blocking()

    async def shutdown(self, how: int) -> None:
        """Shut down one or both directions; raise OSError."""
        await self._sock.shutdown(how)

    async def close(self) -> None:
        """Close the tunnel, and with it the connection to the upstream.

        An orderly close would wait behind the bytes that the upstream doesn't read.
        """
        if not self._ended:
            reset_on_close(self._sock)
        await self._sock.close()
