"""Pool owners that are computed from the membership alone.

Control assigns a pool to one process at a time and waits for its lease to expire before
it assigns another, which means seconds without grants when an owner dies. Two owners at
the same time only waste capacity at upstreams and break no guarantee, since the entry
host that read a request is the only one that sends it. Here, every entry host therefore
chooses the first host that responds to it, in an order computed from the names of pool
and hosts; entry hosts with the same view of the hosts choose the same owner.
"""

from collections.abc import Mapping
from typing import Any

import xxhash

from bitterntiller.components.node.models import Host
from bitterntiller.components.settings.const import ROLE_CONTROL, ROLE_DISPATCH
from bitterntiller.core.interfaces import DirectoryView, Ownership


class RendezvousOwners:
    """Owners by rendezvous hashing over the hosts that are not suspected to be down.

    A core DirectoryView. Hosts of control come first, as they have no callers of their
    own; entry hosts are used when no control host responds.
    """

    def __init__(self, directory: DirectoryView) -> None:
        self._directory = directory
        self._incarnation_by_host: dict[str, str] = {}
        self._suspects: set[str] = set()
        self._order_by_pool: dict[str, list[Host]] = {}
        self._ordered: Mapping[str, Any] | None = None

    @property
    def hosts_by_name(self) -> Mapping[str, Any]:
        """The live hosts."""
        return self._directory.hosts_by_name

    def owner(self, pool: str) -> Ownership | None:
        """Return the owner of a pool, None if no host can own it."""
        for host in self.candidates(pool):
            if host.name not in self._suspects:
                incarnation = self._incarnation_by_host.get(host.name, "")
                return Ownership(host.name, host.address, 0, incarnation)
        return None

    def candidates(self, pool: str) -> list[Host]:
        """Return the hosts that may own a pool, in order of preference."""
        hosts = self._directory.hosts_by_name
        if hosts is not self._ordered:
            self._ordered = hosts
            self._order_by_pool = {}
        order = self._order_by_pool.get(pool)
        if order is None:
            order = sorted(
                (host for host in hosts.values() if ROLE_DISPATCH in host.roles),
                key=lambda host: (ROLE_CONTROL not in host.roles, _weight(pool, host)),
            )
            self._order_by_pool[pool] = order
        return order

    def record_answer(self, host: str, incarnation: str) -> bool:
        """Record that a host has responded; return whether that changes its state."""
        changed = host in self._suspects
        changed = changed or self._incarnation_by_host.get(host) != incarnation
        self._suspects.discard(host)
        self._incarnation_by_host[host] = incarnation
        return changed

    def incarnation(self, host: str) -> str:
        """Return the incarnation of a host's last response, empty without one."""
        return self._incarnation_by_host.get(host, "")

    def suspect(self, host: str) -> bool:
        """Skip a host until it responds again; return False if it already was."""
        if host in self._suspects:
            return False
        self._suspects.add(host)
        return True

    def is_suspect(self, host: str) -> bool:
        """Return whether a host is skipped."""
        return host in self._suspects


class SelfOwner:
    """A core DirectoryView in which this process owns every pool.

    Where entry hosts choose their owners, a process serves every host that contacts it.
    """

    def __init__(self, directory: DirectoryView, host: str, address: str) -> None:
        self._directory = directory
        self._ownership = Ownership(host, address, 0)

    @property
    def hosts_by_name(self) -> Mapping[str, Any]:
        """The live hosts."""
        return self._directory.hosts_by_name

    def owner(self, pool: str) -> Ownership | None:
        """Return this process."""
        return self._ownership


def _weight(pool: str, host: Host) -> int:
    return xxhash.xxh3_64_intdigest(f"{pool}\0{host.name}".encode())
