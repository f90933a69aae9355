"""Open a tunnel through another host."""

from typing import NamedTuple

import curio

from bitterntiller.components.links.errors import HandshakeError
from bitterntiller.components.links.frames import pack, unpack
from bitterntiller.components.links.handshake import async_read_frame
from bitterntiller.components.tunnels import const
from bitterntiller.components.tunnels.errors import TunnelError
from bitterntiller.components.tunnels.stream import TunnelSocket
from bitterntiller.core.interfaces import Links
from bitterntiller.core.timeouts import timeout_after
from bitterntiller.protocol import MalformedMessageError, messages


class Destination(NamedTuple):
    """The upstream that a connection leads to, and the request that needs it.

    relays names hosts that are known to reach the upstream. probe is set for a probe.
    """

    request_id: str
    upstream: str
    address: str
    relays: tuple[str, ...] = ()
    pool: str = ""
    probe: bool = False


async def async_open_tunnel(
    links: Links, relay_address: str, destination: Destination
) -> TunnelSocket:
    """Return a tunnel through the host at an internal address; raise TunnelError."""
    try:
        async with timeout_after(const.OPEN_SECONDS):
            return await _async_open(links, relay_address, destination)
    except curio.TaskTimeout:
        text = f"{relay_address} opened no tunnel in {const.OPEN_SECONDS} s"
        raise TunnelError("", text) from None
    except (OSError, ValueError, HandshakeError, MalformedMessageError) as error:
        raise TunnelError("", f"{relay_address}: {error!r}") from error


async def _async_open(
    links: Links, relay_address: str, destination: Destination
) -> TunnelSocket:
    sock = await links.async_open_stream(relay_address, const.PURPOSE)
    try:
        request = messages.OpenTunnel(
            request_id=destination.request_id,
            upstream=destination.upstream,
            address=destination.address,
            connect_ms=int(const.RELAY_CONNECT_SECONDS * 1000),
            pool=destination.pool,
            probe=destination.probe,
        )
        await sock.sendall(pack(request))
        reply = unpack(await async_read_frame(sock)).message
        if not isinstance(reply, messages.OpenTunnelReply):
            raise TunnelError("", f"{relay_address} replied {type(reply).__name__}")
        if reply.status != const.STATUS_OK:
            raise TunnelError(reply.status, f"{relay_address}: {reply.text}")
        return TunnelSocket(sock)
    except BaseException:
        await sock.close()
        raise
