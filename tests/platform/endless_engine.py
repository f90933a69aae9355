"""An engine process that answers, while it is told to, with bytes that never end.

It records how long the host keeps each connection that gets such bytes.
"""

import json
import os
import select
import socket
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from typing import NamedTuple

from tests.platform.endless_bytes import Response, response_pieces
from tests.platform.engine_process import (
    HEALTH_PATH,
    OK,
    Arguments,
    EngineProcess,
    is_closed,
    parse_arguments,
)

PIECE_SECONDS = 0.1
"""Time between two pieces of a slow engine."""

PROBE_SECONDS = 2.0
"""Longest time that a host may wait for the answer to a health check."""

LONG_PREFIX = "/long/"
MEGABYTE = 1_000_000
DEADLINE_HEADER = "X-Deadline-Ms"


class Orders(NamedTuple):
    """What an engine sends in place of answers.

    probes states whether health checks get it too.
    """

    kind: Response
    slow: bool
    probes: bool = False

    def write(self, path: Path) -> None:
        """Let the engine of a file act so."""
        fresh = path.with_suffix(".fresh")
        fresh.write_text(json.dumps(self))
        os.replace(fresh, path)

    @classmethod
    def read(cls, path: Path) -> "Orders | None":
        """Return the orders in a file, if there are any."""
        try:
            kind, slow, probes = json.loads(path.read_text())
        except FileNotFoundError:
            return None
        return cls(Response(kind), slow, probes)


class Held(NamedTuple):
    """A connection that got bytes without end.

    closed is when the host closed it, None while it is open. Times are those of the
    machine's steady clock.
    """

    request_id: str
    at: float
    deadline: float
    closed: float | None = None

    def beyond(self, now: float) -> float:
        """Return how long the host kept the connection beyond its deadline."""
        return (now if self.closed is None else self.closed) - self.deadline

    @property
    def is_probe(self) -> bool:
        """Whether it was that of a health check."""
        return not self.request_id


class HeldFile:
    """The file in which an engine records connections."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("a", buffering=1)
        self._lock = threading.Lock()

    def record(self, held: Held) -> None:
        """Record that a connection gets such bytes, or was closed."""
        with self._lock:
            self._file.write(json.dumps(held) + "\n")

    @staticmethod
    def read(path: Path) -> list[Held]:
        """Return what was recorded; of each connection as it stands now."""
        if not path.exists():
            return []
        found: dict[tuple[str, float], Held] = {}
        for line in path.read_text().splitlines():
            held = Held(*json.loads(line))
            found[held.request_id, held.at] = held
        return list(found.values())


def orders_file(runs: Path) -> Path:
    """Return the file of orders of the engine with a file of runs."""
    return runs.with_suffix(".orders")


def held_file(runs: Path) -> Path:
    """Return the file of connections of the engine with a file of runs."""
    return runs.with_suffix(".held")


class EndlessEngine(EngineProcess):
    """An engine that is sound while there are no orders for it."""

    def __init__(self, arguments: Arguments) -> None:
        super().__init__(arguments)
        self._orders_file = orders_file(arguments.runs)
        self._held_file = HeldFile(held_file(arguments.runs))

    def respond(self, handler: BaseHTTPRequestHandler) -> None:
        """Respond, also to health checks if the orders say so."""
        orders = Orders.read(self._orders_file)
        if handler.path == HEALTH_PATH and orders is not None and orders.probes:
            self._send_on(handler, orders)
        else:
            super().respond(handler)

    def _serve(self, handler: BaseHTTPRequestHandler) -> None:
        orders = Orders.read(self._orders_file)
        if orders is not None:
            self._send_on(handler, orders)
            raise ConnectionAbortedError("the host has closed the connection")
        if handler.path.startswith(LONG_PREFIX):
            self._serve_long(handler)
        else:
            super()._serve(handler)

    def _serve_long(self, handler: BaseHTTPRequestHandler) -> None:
        """Send a proper response of so many megabytes as the path states, at once."""
        megabytes = int(handler.path.removeprefix(LONG_PREFIX))
        self._begin(handler, OK)
        handler.send_header("Content-Length", str(megabytes * MEGABYTE))
        handler.end_headers()
        handler.wfile.flush()
        block = b"t" * MEGABYTE
        for _ in range(megabytes):
            handler.connection.sendall(block)

    def _send_on(self, handler: BaseHTTPRequestHandler, orders: Orders) -> None:
        """Send bytes until the host closes the connection."""
        handler.close_connection = True
        request_id = handler.headers.get("X-Attempt-Id", "")
        pieces = response_pieces(orders.kind, request_id, orders.slow)
        if orders.kind is Response.LOST and handler.path == HEALTH_PATH:
            pieces = response_pieces(Response.INTERIM_103, request_id, orders.slow)
        with self._holding(handler, request_id):
            send_until_closed(handler.connection, pieces, orders.slow)

    @contextmanager
    def _holding(
        self, handler: BaseHTTPRequestHandler, request_id: str
    ) -> Iterator[None]:
        at = time.monotonic()
        stated = handler.headers.get(DEADLINE_HEADER)
        seconds = PROBE_SECONDS if stated is None else int(stated) / 1000
        is_probe = handler.path == HEALTH_PATH
        held = Held("" if is_probe else request_id, at, at + seconds)
        self._held_file.record(held)
        try:
            yield
        finally:
            self._held_file.record(held._replace(closed=time.monotonic()))


def send_until_closed(
    connection: socket.socket, pieces: Iterator[bytes], slow: bool
) -> None:
    """Send pieces until the other side closes; one each PIECE_SECONDS if slow."""
    try:
        for piece in pieces:
            connection.sendall(piece)
            if not slow:
                continue
            if select.select([connection], [], [], PIECE_SECONDS)[0]:
                if is_closed(connection):
                    return
                time.sleep(PIECE_SECONDS)
    except OSError:
        return


def main() -> None:
    """Run the engine of the command line."""
    EndlessEngine(parse_arguments(sys.argv[1:])).run()


if __name__ == "__main__":
    main()
