"""Sockets of hosts whose paths to each other are lost for a while, as a file says.

Each line of the file is a loss: when it begins and ends on the monotonic clock, which
direction is lost, and the hosts that lose their paths to all others. A connection that
is open during a loss stays silent in the lost directions for good, without a reset,
also when it is closed. One that is begun during a loss opens at the kernel's next
attempt after it.

Hosts on loopback addresses connect from one and the same address, so the connecting
side plays both directions. It keeps the sockets of silent connections open, so that
the other side hears nothing of their close until the kernel's keepalive would end them
on both sides.
"""

import socket as system_socket
import time
from collections.abc import Iterable, Iterator
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple

import curio
from curio import io

from bitterntiller.core.tcp import reset_on_close
from bitterntiller.core.timeouts import ignore_after

CHECK_SECONDS = 0.1
SYN_RETRY_SECONDS = (1.0, 3.0, 7.0, 15.0, 31.0)
"""When the kernel repeats an unanswered attempt to connect."""


class Direction(StrEnum):
    """Which packets are lost, seen from the hosts of a loss."""

    BOTH = "both"
    OUTWARDS = "outwards"
    INWARDS = "inwards"


class Loss(NamedTuple):
    """A time in which some hosts lose packets to or from all others."""

    begins: float
    ends: float
    direction: Direction
    ips: frozenset[str]

    def loses(self, sender: str, receiver: str) -> bool:
        """Return whether packets between two hosts are lost during this loss."""
        if (sender in self.ips) == (receiver in self.ips):
            return False
        if self.direction is Direction.BOTH:
            return True
        return (sender in self.ips) == (self.direction is Direction.OUTWARDS)


def add_loss(
    path: Path,
    begins: float,
    ends: float,
    ips: Iterable[str],
    direction: Direction = Direction.BOTH,
) -> None:
    """Add a loss to the file that all hosts read."""
    before = path.read_text() if path.exists() else ""
    part = path.with_suffix(".part")
    part.write_text(f"{before}{begins} {ends} {direction} {' '.join(ips)}\n")
    part.replace(path)


class Losses:
    """The losses that a file describes, read again when it changes."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._read_at = 0.0
        self._found: tuple[Loss, ...] = ()

    def all(self) -> tuple[Loss, ...]:
        """Return the losses, as they were at most CHECK_SECONDS ago."""
        now = time.monotonic()
        if now - self._read_at >= CHECK_SECONDS / 2:
            self._read_at = now
            self._found = tuple(_parse(self._path))
        return self._found


def _parse(path: Path) -> Iterator[Loss]:
    try:
        lines = path.read_text().splitlines()
    except FileNotFoundError:
        return
    for line in lines:
        begins, ends, direction, *ips = line.split()
        yield Loss(float(begins), float(ends), Direction(direction), frozenset(ips))


class LostPathSocket(io.Socket):
    """A socket whose path may be lost; losses and own_ip are set by install()."""

    losses: Losses
    own_ip = ""
    port = 0
    kept: list[tuple[float, Any]] = []
    _peer_ip = ""
    _began = 0.0

    async def connect(self, address: Any) -> Any:
        if address[1] != self.port:
            return await super().connect(address)
        self._peer_ip = address[0]
        began = time.monotonic()
        for seconds in (0.0, *SYN_RETRY_SECONDS):
            await curio.sleep(max(0.0, began + seconds - time.monotonic()))
            self._began = time.monotonic()
            if not (self._loses_sent() or self._loses_received()):
                return await super().connect(address)
        raise TimeoutError("no answer")

    async def sendall(self, data: Any, flags: int = 0) -> Any:
        if self._peer_ip and self._loses_sent():
            return None
        return await super().sendall(data, flags)

    async def recv(self, maxsize: int, flags: int = 0) -> Any:
        if not self._peer_ip:
            return await super().recv(maxsize, flags)
        while True:
            data = None
            async with ignore_after(CHECK_SECONDS):
                data = await super().recv(maxsize, flags)
            if data is not None and not self._loses_received():
                return data
            if data == b"":
                await curio.sleep(CHECK_SECONDS)
            self._reset_if_timed_out()

    async def close(self) -> None:
        if self._peer_ip and self._loses_sent():
            ends = self._silent_since() + self._keepalive_seconds()
            self.kept.append((ends, self._socket.dup()))
        await super().close()

    def _reset_if_timed_out(self) -> None:
        """End connections whose keepalive probes were not acknowledged."""
        now = time.monotonic()
        for item in [item for item in self.kept if item[0] <= now]:
            self.kept.remove(item)
            _reset(item[1])
        if not (self._loses_sent() or self._loses_received()):
            return
        if now >= self._silent_since() + self._keepalive_seconds():
            reset_on_close(self)
            self._began = now
            raise TimeoutError("keepalive probes were not acknowledged")

    def _silent_since(self) -> float:
        """Return when the first loss of this connection began."""
        return min(
            (
                loss.begins
                for loss in self.losses.all()
                if loss.ends >= self._began
                and (
                    loss.loses(self.own_ip, self._peer_ip)
                    or loss.loses(self._peer_ip, self.own_ip)
                )
            ),
            default=time.monotonic(),
        )

    def _keepalive_seconds(self) -> float:
        option = system_socket.TCP_USER_TIMEOUT
        timeout = self._socket.getsockopt(system_socket.IPPROTO_TCP, option)
        return timeout / 1000 if timeout else float("inf")

    def _loses_sent(self) -> bool:
        return self._loses(self.own_ip, self._peer_ip)

    def _loses_received(self) -> bool:
        return self._loses(self._peer_ip, self.own_ip)

    def _loses(self, sender: str, receiver: str) -> bool:
        now = time.monotonic()
        return any(
            loss.begins <= now
            and self._began <= loss.ends
            and loss.loses(sender, receiver)
            for loss in self.losses.all()
        )


def _reset(sock: Any) -> None:
    reset_on_close(sock)
    sock.close()


def install(path: Path, own_ip: str, port: int) -> None:
    """Make all connections of this process to a port use the paths of a host."""
    LostPathSocket.losses = Losses(path)
    LostPathSocket.own_ip = own_ip
    LostPathSocket.port = port
    curio.socket.socket = lambda *args, **options: LostPathSocket(
        system_socket.socket(*args, **options)
    )
