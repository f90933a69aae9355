"""The proof that a connecting host holds the internal key.

The accepting side sends a nonce; the connecting side answers with the HMAC of
the nonce and its own name. The key itself never travels.
"""

import hmac
import secrets

import curio

from bitterntiller.components.links.const import (
    HANDSHAKE_TIMEOUT,
    NONCE_BYTES,
    READ_BYTES,
)
from bitterntiller.components.links.errors import HandshakeError
from bitterntiller.components.links.frames import FrameBuffer, pack, unpack
from bitterntiller.components.links.models import Peer
from bitterntiller.protocol import MalformedMessageError, messages


def proof(key: bytes, nonce: bytes, peer: Peer) -> bytes:
    """Return the HMAC-SHA256 that proves the key for a host's name and address."""
    text = f"{peer.host}\n{peer.incarnation}\n{peer.address}".encode()
    return hmac.digest(key, nonce + text, "sha256")


async def _async_read(sock: curio.io.Socket, cls: type) -> object:
    """Return the one next message, which must be of the given type."""
    buffer = FrameBuffer()
    while True:
        data = await sock.recv(READ_BYTES)
        if not data:
            raise HandshakeError("the peer closed the connection")
        frames = buffer.feed(data)
        if frames:
            break
    incoming = unpack(frames[0])
    if isinstance(incoming.message, messages.Fault):
        raise HandshakeError(incoming.message.text)
    if len(frames) > 1 or not isinstance(incoming.message, cls):
        raise HandshakeError(f"expected {cls.__name__}")
    return incoming.message


async def async_accept(sock: curio.io.Socket, key: bytes, own: Peer) -> Peer:
    """Check a connecting host and return who it is; raise HandshakeError."""
    try:
        async with curio.timeout_after(HANDSHAKE_TIMEOUT):
            nonce = secrets.token_bytes(NONCE_BYTES)
            await sock.sendall(pack(messages.Challenge(nonce=nonce)))
            hello = await _async_read(sock, messages.Hello)
            peer = Peer(hello.host, hello.incarnation, hello.address)
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
    """Prove the key to an accepting host and return who it is."""
    try:
        async with curio.timeout_after(HANDSHAKE_TIMEOUT):
            challenge = await _async_read(sock, messages.Challenge)
            hello = messages.Hello(
                host=own.host,
                incarnation=own.incarnation,
                address=own.address,
                proof=proof(key, challenge.nonce, own),
            )
            await sock.sendall(pack(hello))
            reply = await _async_read(sock, messages.HelloReply)
            return Peer(reply.host, reply.incarnation, address)
    except (curio.TaskTimeout, MalformedMessageError, OSError) as error:
        raise HandshakeError(f"no handshake: {error!r}") from error
