"""A stand-in for an engine: it announces itself and serves one request at a time on a
channel, by a function of the case."""

import contextlib
import json
import socket
import threading
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from .fleet import CONTROL_PORT, ENGINE_PORT, Fleet, call


class Request(NamedTuple):
    """A request that has arrived at an engine."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt(self) -> str:
        """The id that the requester gave it."""
        return self.headers.get("x-attempt-id", "")


class Channel:
    """A connection to an engine, with a place for what a case notes on it."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.reader = sock.makefile("rb")
        self.notes: dict[str, Any] = {}

    def read(self) -> Request | None:
        """Return the next request, None at the end."""
        line = self.reader.readline()
        if not line:
            return None
        method, target, _ = line.decode("latin-1").split(" ", 2)
        headers: dict[str, str] = {}
        while (line := self.reader.readline()).strip():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        body = self.reader.read(int(headers.get("content-length", 0)))
        return Request(method, target, headers, body)

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self.sock.sendall(data)

    def close(self) -> None:
        """Close the connection in order."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.reader.close()
        self.sock.close()


def response(
    request: Request, status: str, body: bytes, *lines: str, signed: bool = True
) -> bytes:
    """Return a whole response with its length."""
    head = [f"HTTP/1.1 {status}", f"X-Attempt-Id: {request.attempt}"]
    if signed:
        head.append("X-Engine-Signature: 3e1b.07.5a2.600.0.c9f2a4d1")
    head += [*lines, f"Content-Length: {len(body)}"]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


Serve = Callable[["Engine", Channel, Request], bool]
"""Serves a request; returns False to close the channel."""


class Engine:
    """An engine at an address of its own; heartbeats go on until it is closed."""

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        number: int,
        service: str,
        serve: Serve,
        slots: int = 6,
        version: str = "v1",
        ping_after: float = 0.0,
    ) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.state = "ready"
        self.slots = slots
        self._ping_after = ping_after
        self.ip = f"{fleet.subnet}.{100 + number}"
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._fleet = fleet
        self._serve = serve
        self._stopped = threading.Event()
        self._channels: set[Channel] = set()
        self._lock = threading.Lock()
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((self.ip, ENGINE_PORT))
        self._listener.listen(256)
        for target in (self._accept, self._beat):
            threading.Thread(target=target, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock: socket.socket) -> None:
        channel = Channel(sock)
        with self._lock:
            self._channels.add(channel)
        try:
            while (request := channel.read()) is not None:
                if request.target == "/healthz":
                    line = f"X-Instance-Id: {self.name}"
                    channel.send(response(request, "200 OK", b"", line, signed=False))
                    continue
                expected = request.headers.get("x-expected-instance")
                if expected not in (None, self.name):
                    channel.send(
                        response(request, "421 Misdirected", b"", signed=False)
                    )
                    continue
                if not self._serve(self, channel, request):
                    break
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._channels.discard(channel)
            channel.close()

    def beat(self, **changed: Any) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.ip}:{ENGINE_PORT}",
            "zone": "bole",
            "version": self.version,
            "batch_slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "born": self.born,
            "seq": self._sequence,
            **changed,
        }
        for host in self._fleet.controls:
            path = f"/-/instances/{self.name}"
            status, _ = call(
                host.ip, CONTROL_PORT, "PUT", path, json.dumps(body).encode(), timeout=1
            )
            if status == 200:
                return True
        return False

    def _beat(self) -> None:
        if self._stopped.wait(self._ping_after):
            return
        while not self._stopped.is_set():
            self.beat()
            self._stopped.wait(self._fleet.heartbeat_ms / 1000)

    def stop_heartbeats(self) -> None:
        """Send no further heartbeats."""
        self._stopped.set()

    def close(self) -> None:
        """End at once, as in a crash."""
        self._stopped.set()
        self._listener.close()
        with self._lock:
            channels = list(self._channels)
        for channel in channels:
            with contextlib.suppress(OSError):
                channel.sock.shutdown(socket.SHUT_RDWR)
