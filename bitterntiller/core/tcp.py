"""Connecting by IP number, without the resolver, and options of TCP sockets."""

import ipaddress
from typing import Any

import curio
from curio import socket

MAX_KEEPALIVE_PROBES = 127
MAX_KEEPALIVE_IDLE = 32767


async def async_connect(ip: str, port: int, timeout: float) -> Any:
    """Return a connected socket.

    Raise OSError when the connection is refused or not made in timeout seconds,
    ValueError when ip is no IP number. The library's own connecting asks the
    resolver in a thread each time, also for numbers: that costs a change of threads
    for each connection, and at most 64 connections can be begun at once.
    """
    version = ipaddress.ip_address(ip).version
    family = socket.AF_INET if version == 4 else socket.AF_INET6
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        async with curio.timeout_after(timeout):
            await sock.connect((ip, port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except curio.TaskTimeout:
        await sock.close()
        raise TimeoutError(f"no connection in {timeout} s") from None
    except BaseException:
        # Also when cancelled: a caller that leaves must leave no socket behind.
        await sock.close()
        raise
    return sock


def enable_keepalive(sock: Any, seconds: int) -> None:
    """Have a connection break when its peer's host is silent for some seconds.

    A host that loses its power or its network sends no reset. The connection would
    stand open for a quarter of an hour, and after a partition the kernel may wait two
    minutes before it tries again; what is sent meanwhile seems to leave.
    """
    probes = min(max(1, seconds // 2), MAX_KEEPALIVE_PROBES)
    idle = min(max(1, seconds - probes), MAX_KEEPALIVE_IDLE)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, min(seconds * 1000, 2**31 - 1)
    )
