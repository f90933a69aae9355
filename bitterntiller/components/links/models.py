"""Data of the links between hosts."""

from typing import Any, NamedTuple


class Peer(NamedTuple):
    """The other end of a connection, as proved by the handshake.

    purpose is empty for a connection that carries messages.
    """

    host: str
    incarnation: str
    address: str
    purpose: str = ""


class Incoming(NamedTuple):
    """A decoded frame of some bytes; call is 0 if no reply is expected."""

    call: int
    reply: bool
    message: Any
    size: int = 0
