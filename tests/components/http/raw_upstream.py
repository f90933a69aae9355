"""Upstreams that send bytes without end, from a thread of their own.

A task of the test's own loop would let the others run whenever it waits.
"""

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

BACKLOG = 16


@contextmanager
def endless_upstream(
    first: bytes, piece: bytes, pause: float = 0.0, asked: bytes = b""
) -> Iterator[str]:
    """Yield the address of an upstream that sends pieces until it is closed.

    It sends first and then a piece every pause seconds, or as fast as they are read. To
    a request whose head has asked it sends first alone.
    """

    def serve(connection: socket.socket) -> None:
        with connection:
            try:
                while data := connection.recv(65536):
                    connection.sendall(first)
                    while not asked or asked not in data:
                        connection.sendall(piece)
                        time.sleep(pause)
            except OSError:
                return

    def accept() -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=serve, args=(connection,), daemon=True).start()

    with socket.create_server(("127.0.0.1", 0), backlog=BACKLOG) as listener:
        threading.Thread(target=accept, daemon=True).start()
        try:
            yield f"127.0.0.1:{listener.getsockname()[1]}"
        finally:
            listener.shutdown(socket.SHUT_RDWR)
