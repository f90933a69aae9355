"""TCP proxy in front of a host that can simulate network partitions."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable

READ_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0
PEER_LOOKUP_ATTEMPTS = 20
PEER_LOOKUP_PAUSE_S = 0.05
"""Attempts to find the connecting host, and seconds between two of them."""


class Proxy:
    """Forwards connections to one host's internal port.

    A cut stops all bytes in both directions and closes nothing, as when a network drops
    packets. After the cut the held bytes are forwarded, as TCP would retransmit them.
    """

    def __init__(self, target_port: int, find_host: Callable[[int, int], str]) -> None:
        self._target_port = target_port
        self._find_host = find_host
        self._gates_by_peer: dict[str, threading.Event] = {}
        self._sockets: list[socket.socket] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def set_cut(self, peer: str, cut: bool) -> None:
        """Hold or forward all bytes from and to a peer host."""
        event = self._gate(peer)
        event.clear() if cut else event.set()

    def close(self) -> None:
        """Close the listening socket and all connections."""
        for sock in [self._listener, *self._sockets]:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _gate(self, peer: str) -> threading.Event:
        if peer not in self._gates_by_peer:
            event = threading.Event()
            event.set()
            self._gates_by_peer[peer] = event
        return self._gates_by_peer[peer]

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, address = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(sock, address[1]), daemon=True
                ).start()

    def _serve(self, client_socket: socket.socket, peer_port: int) -> None:
        self._sockets.append(client_socket)
        peer = self._find_peer(peer_port)
        if not peer:
            client_socket.close()
            return
        gate = self._gate(peer)
        gate.wait()
        try:
            host_socket = socket.create_connection(
                ("127.0.0.1", self._target_port), CONNECT_TIMEOUT_S
            )
        except OSError:
            client_socket.close()
            return
        host_socket.settimeout(None)
        self._sockets.append(host_socket)
        for source, sink in (
            (client_socket, host_socket),
            (host_socket, client_socket),
        ):
            sink.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._pump, args=(source, sink, gate), daemon=True
            ).start()

    def _find_peer(self, port: int) -> str:
        """Return the host that connected from a port, empty if it is not found.

        The kernel's socket table may miss a socket while others open and close, so the
        lookup is retried. A connection without a known host is closed: forwarded, it
        would bypass a cut.
        """
        for _ in range(PEER_LOOKUP_ATTEMPTS):
            if peer := self._find_host(port, self.port):
                return peer
            time.sleep(PEER_LOOKUP_PAUSE_S)
        return ""

    def _pump(
        self, source: socket.socket, sink: socket.socket, gate: threading.Event
    ) -> None:
        try:
            while data := source.recv(READ_BYTES):
                gate.wait()
                sink.sendall(data)
            gate.wait()
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for sock in (source, sink):
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
