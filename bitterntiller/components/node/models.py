"""What a node hears from control."""

from typing import NamedTuple


class Host(NamedTuple):
    """A host as the directory has it; address is the internal one, IP:port."""

    name: str
    address: str
    zone: str
    incarnation: str
    roles: tuple[str, ...] = ()


class PoolOwner(NamedTuple):
    """The process that owns a pool, under an epoch."""

    host: str
    address: str
    incarnation: str
    epoch: int
