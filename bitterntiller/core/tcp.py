"""TCP connections to IP addresses without the resolver, and TCP keepalive."""

import fcntl
import ipaddress
import select
import struct
import termios
from typing import Any

import curio
from curio import socket

from bitterntiller.core.timeouts import timeout_after

MAX_KEEPALIVE_PROBES = 127
MAX_KEEPALIVE_IDLE = 32767
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_INT = struct.Struct("i")
_TCP_CLOSE, _TCP_CLOSE_WAIT = 7, 8
"""States of a connection in TCP_INFO, see tcp(7); after a reset it is in CLOSE."""


async def async_connect(ip: str, port: int, timeout: float) -> Any:
    """Return a connected socket.

    Raise OSError if the connection is refused or not established within timeout
    seconds, ValueError if ip is not an IP address. curio.open_connection calls the
    resolver in a thread even for IP addresses, which costs a thread switch for each
    connection and limits the connections that are being opened to 64.
    """
    version = ipaddress.ip_address(ip).version
    family = socket.AF_INET if version == 4 else socket.AF_INET6
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        async with timeout_after(timeout):
            await sock.connect((ip, port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except curio.TaskTimeout:
        await sock.close()
        raise TimeoutError(f"no connection in {timeout} s") from None
    except BaseException:
        # Also when cancelled, so that the socket is not leaked.
        await sock.close()
        raise
    return sock


def enable_keepalive(sock: Any, seconds: int, user_timeout: bool = True) -> None:
    """Make the kernel close a connection when its peer is silent for some seconds.

    With user_timeout, also when the peer acknowledges no data or takes none; a peer
    that doesn't read for that long is closed, too.

    A host that loses power or its network sends no reset. Without keepalive and a user
    timeout the connection would stay open for about 15 minutes, and after a partition
    the kernel may wait two minutes before it retransmits, while sends still succeed.
    """
    probes = min(max(1, seconds // 2), MAX_KEEPALIVE_PROBES)
    idle = min(max(1, seconds - probes), MAX_KEEPALIVE_IDLE)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
    if user_timeout:
        set_user_timeout(sock, seconds)


def set_user_timeout(sock: Any, seconds: int) -> None:
    """Make the kernel close a connection whose peer takes no data for some seconds."""
    most = min(seconds * 1000, 2**31 - 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, most)


def is_quiet(sock: Any) -> bool:
    """Return whether an idle connection has received nothing, not even its end."""
    try:
        with sock.blocking() as blocking_sock:
            blocking_sock.setblocking(False)
            blocking_sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def is_writable(sock: Any) -> bool:
    """Return whether the peer has read so much that more can be sent."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLOUT)
    return bool(poll.poll(0))


def reset_on_close(sock: Any) -> None:
    """Make the close of a connection a TCP reset, at once and without unsent bytes."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    except OSError:
        return


def is_closed_by_peer(sock: Any) -> bool:
    """Return whether the peer has closed or reset a connection.

    Unlike reading, this finds an end that follows unread bytes. A connection whose
    state is not available counts as open.
    """
    return _state(sock) in (_TCP_CLOSE, _TCP_CLOSE_WAIT)


def is_reset(sock: Any) -> bool:
    """Return whether a connection that this end hasn't closed was reset.

    Reads that follow an orderly end don't tell it.
    """
    return _state(sock) == _TCP_CLOSE


def unacknowledged_bytes(sock: Any) -> int:
    """Return how many sent bytes the kernel of the peer has not acknowledged.

    An end of the connection counts as one. Raise OSError.
    """
    with sock.blocking() as blocking_sock:
        found = fcntl.ioctl(blocking_sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    return int(_INT.unpack(found)[0])


def _state(sock: Any) -> int | None:
    """Return the state of a connection, None if it isn't available."""
    try:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return None
    return state[0] if state else None
