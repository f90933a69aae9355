"""Directory entries that a node receives from control."""

from typing import NamedTuple


class Host(NamedTuple):
    """A host in the directory; address is its internal address, IP:port."""

    name: str
    address: str
    zone: str
    incarnation: str
    roles: tuple[str, ...] = ()


class PoolOwner(NamedTuple):
    """The process that owns a pool and the epoch of its ownership."""

    host: str
    address: str
    incarnation: str
    epoch: int
