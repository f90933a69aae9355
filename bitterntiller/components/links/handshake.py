"""Handshake in which a connecting host proves that it holds the internal key.

The accepting side sends a nonce; the connecting side replies with the HMAC of the nonce
and its own name, incarnation and address. The key itself is never sent.
"""

import hmac
import secrets
from typing import Any

import curio

from bitterntiller.components.links.const import (
    HANDSHAKE_TIMEOUT,
    LENGTH_BYTES,
    MAX_HANDSHAKE_BYTES,
    NONCE_BYTES,
)
from bitterntiller.components.links.errors import HandshakeError
from bitterntiller.components.links.frames import pack, unpack_stranger
from bitterntiller.components.links.models import Peer
from bitterntiller.core.timeouts import timeout_after
from bitterntiller.core.turns import Turns
from bitterntiller.protocol import MalformedMessageError, messages


def proof(key: bytes, nonce: bytes, peer: Peer) -> bytes:
    """Return the HMAC-SHA256 that proves possession of the key for a peer."""
    text = f"{peer.host}\n{peer.incarnation}\n{peer.address}"
    if peer.purpose:
        text += f"\n{peer.purpose}"
    return hmac.digest(key, nonce + text.encode(), "sha256")


async def _async_read_message(sock: curio.io.Socket, cls: type) -> Any:
    """Return the next message, which must be of the given type.

    Read no byte beyond it. The accepting side may send its first messages directly
    after its reply, and bytes of them that were read here would be lost.
    """
    incoming = unpack_stranger(await async_read_frame(sock))
    if isinstance(incoming.message, messages.Fault):
        raise HandshakeError(incoming.message.text)
    if not isinstance(incoming.message, cls):
        raise HandshakeError(f"expected {cls.__name__}")
    return incoming.message


async def async_read_frame(
    sock: curio.io.Socket, max_bytes: int = MAX_HANDSHAKE_BYTES
) -> bytes:
    """Return the next frame without its length; raise HandshakeError.

    Read no byte beyond it.
    """
    length = int.from_bytes(await _async_read_exactly(sock, LENGTH_BYTES), "big")
    if length > max_bytes:
        raise HandshakeError(f"a frame of {length} bytes")
    return await _async_read_exactly(sock, length)


async def _async_read_exactly(sock: curio.io.Socket, size: int) -> bytes:
    parts = bytearray()
    turns = Turns()
    while len(parts) < size:
        data = await sock.recv(size - len(parts))
        if not data:
            raise HandshakeError("the peer closed the connection")
        parts += data
        await turns.async_count(len(data))
    return bytes(parts)


async def async_accept(sock: curio.io.Socket, key: bytes, own: Peer) -> Peer:
    """Authenticate a connecting host and return it; raise HandshakeError."""
    try:
        async with timeout_after(HANDSHAKE_TIMEOUT):
            nonce = secrets.token_bytes(NONCE_BYTES)
            await sock.sendall(pack(messages.Challenge(nonce=nonce)))
            hello = await _async_read_message(sock, messages.Hello)
            peer = Peer(
                hello.host, hello.incarnation, hello.address, hello.purpose or ""
            )
            if not hmac.compare_digest(hello.proof, proof(key, nonce, peer)):
                raise HandshakeError("wrong key")
            reply = messages.HelloReply(host=own.host, incarnation=own.incarnation)
            await sock.sendall(pack(reply))
            return peer
    except (curio.TaskTimeout, MalformedMessageError, OSError) as error:
        raise HandshakeError(f"no handshake: {error!r}") from error


async def async_connect(
    sock: curio.io.Socket, key: bytes, own: Peer, address: str
) -> Peer:
    """Prove the key to an accepting host and return it; raise HandshakeError."""
    try:
        async with timeout_after(HANDSHAKE_TIMEOUT):
            challenge = await _async_read_message(sock, messages.Challenge)
            hello = messages.Hello(
                host=own.host,
                incarnation=own.incarnation,
                address=own.address,
                proof=proof(key, challenge.nonce, own),
                purpose=own.purpose or None,
            )
            await sock.sendall(pack(hello))
            reply = await _async_read_message(sock, messages.HelloReply)
            return Peer(reply.host, reply.incarnation, address)
    except (curio.TaskTimeout, MalformedMessageError, OSError) as error:
        raise HandshakeError(f"no handshake: {error!r}") from error
