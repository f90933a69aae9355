"""Data of the links between hosts."""

from typing import Any, NamedTuple


class Peer(NamedTuple):
    """Who is at the other end, as proved by the handshake."""

    host: str
    incarnation: str
    address: str


class Incoming(NamedTuple):
    """A decoded frame; call is 0 when no reply is awaited."""

    call: int
    reply: bool
    message: Any
