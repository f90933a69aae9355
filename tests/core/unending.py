"""Builders of peers whose bytes never end, and of a witness of other tasks."""

import threading
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from select import select
from socket import create_connection

import curio

SOCKET_SECONDS = 0.05
MAX_READS_IN_TURN = 64


class TurnCounter:
    """Counts the turns of a task that is always ready to run."""

    def __init__(self) -> None:
        self.turns = 0

    async def async_count(self) -> None:
        """Take turns until cancelled."""
        while True:
            self.turns += 1
            await curio.sleep(0)


@asynccontextmanager
async def counting_turns() -> AsyncIterator[TurnCounter]:
    """Count the turns of another task."""
    counter = TurnCounter()
    task = await curio.spawn(counter.async_count)
    try:
        yield counter
    finally:
        await task.cancel()


@contextmanager
def flooding(
    port: int, start: bytes, repeated: bytes, read_bytes: int = 0
) -> Iterator[threading.Event]:
    """Send bytes without end from a thread.

    Read at most read_bytes after each SOCKET_SECONDS in which nothing can be sent.
    Yield an event that is set once the connection has ended.
    """
    ended = threading.Event()
    stopping = threading.Event()

    def send() -> None:
        with create_connection(("127.0.0.1", port)) as sock:
            sock.settimeout(SOCKET_SECONDS)
            try:
                sock.sendall(start)
                while not stopping.is_set():
                    try:
                        sock.send(repeated)
                    except TimeoutError:
                        if read_bytes and select([sock], [], [], 0)[0]:
                            sock.recv(read_bytes)
            except OSError:
                ended.set()

    thread = threading.Thread(target=send)
    thread.start()
    try:
        yield ended
    finally:
        stopping.set()
        thread.join()


class EndlessSocket:
    """A socket that always has bytes; it fails if others get no turn meanwhile."""

    def __init__(self, counter: TurnCounter, start: bytes, repeated: bytes) -> None:
        self.received = 0
        self.sent = 0
        self._counter = counter
        self._start = start
        self._repeated = repeated
        self._turns = 0
        self._reads_in_turn = 0

    async def recv(self, size: int) -> bytes:
        """Return bytes at once."""
        if self._turns != self._counter.turns:
            self._turns = self._counter.turns
            self._reads_in_turn = 0
        self._reads_in_turn += 1
        if self._reads_in_turn > MAX_READS_IN_TURN:
            raise AssertionError(f"{MAX_READS_IN_TURN} reads without a turn of others")
        data, self._start = self._start or self._repeated, b""
        self.received += len(data)
        return data[:size]

    async def sendall(self, data: bytes) -> None:
        """Take bytes at once."""
        self.sent += len(data)

    async def shutdown(self, how: int) -> None:
        """Accept the end of the write side."""

    async def close(self) -> None:
        """Accept the end."""
