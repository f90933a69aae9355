"""Owners of pools that follow from membership alone.

Control assigns a pool to one process at a time and waits out its lease before it
assigns another, which costs seconds without grants when an owner dies. Two owners at
once cost places at upstreams, never a promise, since the entry host that read a request
is the only one that sends it. So here every entry host takes the first host that
answers it, in an order that follows from the names of pool and hosts; all who see the
same hosts agree.
"""

from collections.abc import Mapping
from typing import Any

import xxhash

from bitterntiller.components.node.models import Host
from bitterntiller.components.settings.const import ROLE_CONTROL, ROLE_DISPATCH
from bitterntiller.core.interfaces import DirectoryView, Ownership


class RendezvousOwners:
    """Owners by rendezvous over the hosts that are not under suspicion.

    A core DirectoryView. Hosts of control go first, as they have no callers of their
    own; entry hosts stand in when none of those answers.
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
        """Return the owner of a pool, None when no host can be one."""
        for host in self.candidates(pool):
            if host.name not in self._suspects:
                incarnation = self._incarnation_by_host.get(host.name, "")
                return Ownership(host.name, host.address, 0, incarnation)
        return None

    def candidates(self, pool: str) -> list[Host]:
        """Return the hosts that may own a pool, the first choice first."""
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
        """Take note that a host answers; tell whether that is news."""
        news = host in self._suspects
        news = news or self._incarnation_by_host.get(host) != incarnation
        self._suspects.discard(host)
        self._incarnation_by_host[host] = incarnation
        return news

    def incarnation(self, host: str) -> str:
        """Return the incarnation in which a host has answered last, or nothing."""
        return self._incarnation_by_host.get(host, "")

    def suspect(self, host: str) -> bool:
        """Pass a host over until it answers again; tell whether that is news."""
        if host in self._suspects:
            return False
        self._suspects.add(host)
        return True

    def is_suspect(self, host: str) -> bool:
        """Tell whether a host is passed over."""
        return host in self._suspects


class SelfOwner:
    """Names this process the owner of every pool; a core DirectoryView.

    Where entry hosts choose their owners, a process acts for whoever turns to it.
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
