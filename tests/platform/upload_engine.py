"""A process whose engine answers a long upload before it has read it.

Its answers have neither a length nor chunks. Each mode is one way to end the
connection after a part of the body; only LINGERS and READS_ALL end a whole answer.
"""

import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from enum import StrEnum

from tests.scenarios.processes import ROOT

PART = b"id: 1\ndata: leaf\n\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
READ_BYTES = 65536
BACKLOG = 64
BUFFER_BYTES = 4096
"""Receive buffer of an engine; a long upload doesn't fit into it."""

PAUSE_SECONDS = 0.002
CLOSE_SECONDS = 0.5


class Ending(StrEnum):
    """How the engine ends its connection."""

    CLOSES = "closes"
    CLOSES_LATE = "closes-late"
    RESETS = "resets"
    SHUTS_DOWN = "shuts-down"
    SHUTS_DOWN_LATE = "shuts-down-late"
    LINGERS = "lingers"
    READS_ALL = "reads-all"


CUT = tuple(item for item in Ending if item not in (Ending.LINGERS, Ending.READS_ALL))


def answer_head(request_id: str, content_type: str) -> bytes:
    """Return the head of an answer that ends with its connection."""
    return (
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\nX-Engine-Signature: s1\r\n"
        f"Content-Type: {content_type}\r\n\r\n"
    ).encode()


def _serve(connection: socket.socket, ending: Ending, content_type: str) -> None:
    with connection:
        data = b""
        while b"\r\n\r\n" not in data:
            part = connection.recv(READ_BYTES)
            if not part:
                return
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        values = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
        lower = {name.lower(): value for name, value in values.items()}
        left = int(lower[b"content-length"]) - len(body)
        if ending is Ending.READS_ALL:
            _read(connection, left)
        request_id = lower[b"x-attempt-id"].decode()
        connection.sendall(answer_head(request_id, content_type) + PART)
        _end(connection, ending, left)


def _end(connection: socket.socket, ending: Ending, left: int) -> None:
    if ending is Ending.LINGERS:
        connection.shutdown(socket.SHUT_WR)
        _read(connection, left)
    elif ending is Ending.CLOSES:
        _read_what_is_there(connection, left // 2)
    elif ending is Ending.CLOSES_LATE:
        time.sleep(PAUSE_SECONDS)
        _read_what_is_there(connection, left // 2)
    elif ending is Ending.SHUTS_DOWN:
        connection.shutdown(socket.SHUT_WR)
    elif ending is Ending.SHUTS_DOWN_LATE:
        connection.shutdown(socket.SHUT_WR)
        time.sleep(CLOSE_SECONDS)
    elif ending is Ending.RESETS:
        time.sleep(PAUSE_SECONDS)
        option = socket.SO_LINGER
        connection.setsockopt(socket.SOL_SOCKET, option, RESET_ON_CLOSE)


def _read(connection: socket.socket, size: int) -> None:
    while size > 0 and (data := connection.recv(min(size, READ_BYTES))):
        size -= len(data)


def _read_what_is_there(connection: socket.socket, most: int) -> None:
    """Read until nothing is there; a close is then a FIN and no reset."""
    connection.setblocking(False)
    try:
        while most > 0 and (data := connection.recv(READ_BYTES)):
            most -= len(data)
    except BlockingIOError:
        return


def _run(ending: Ending, content_type: str) -> None:
    def serve(connection: socket.socket) -> None:
        try:
            _serve(connection, ending, content_type)
        except OSError:
            return

    with socket.create_server(("127.0.0.1", 0), backlog=BACKLOG) as listener:
        size = BUFFER_BYTES
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        print(listener.getsockname()[1], flush=True)
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=serve, args=(connection,), daemon=True).start()


@contextmanager
def upload_engine(ending: Ending, content_type: str = "text/plain") -> Iterator[str]:
    """Yield the address of an engine that is a process of its own."""
    command = [sys.executable, "-m", __name__, ending, content_type]
    process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE)
    try:
        yield f"127.0.0.1:{int(process.stdout.readline())}"
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


if __name__ == "__main__":
    _run(Ending(sys.argv[1]), sys.argv[2])
