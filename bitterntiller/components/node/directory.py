"""The hosts and pool owners, as a node last received them from control."""

from typing import Any

from bitterntiller.components.node.models import Host, PoolOwner
from bitterntiller.core.interfaces import Ownership


class NodeDirectory:
    """The latest directory; a core DirectoryView."""

    def __init__(self, host: str, incarnation: str) -> None:
        self._host = host
        self._incarnation = incarnation
        self._released: set[tuple[str, int]] = set()
        self.version = 0
        self.hosts_by_name: dict[str, Host] = {}
        self.owners_by_pool: dict[str, PoolOwner] = {}

    def owner(self, pool: str) -> Ownership | None:
        """Return the owner of a pool, None if it has none.

        A restarted process does not use the ownership of the previous process on its
        host: that one may have granted requests under its epoch which this process
        does not know about. It waits until it gets an epoch of its own.
        """
        owner = self.owners_by_pool.get(pool)
        if owner is None:
            return None
        if owner.host == self._host and owner.incarnation != self._incarnation:
            return None
        if (pool, owner.epoch) in self._released:
            return None
        return Ownership(owner.host, owner.address, owner.epoch)

    def release(self, pools: list[str]) -> None:
        """Give up the ownership of pools before the release is sent to control.

        Control may assign another owner as soon as it has the release, long before
        this process receives the new directory.
        """
        for pool in pools:
            owner = self.owner(pool)
            if owner is not None and owner.host == self._host:
                self._released.add((pool, owner.epoch))

    def apply(self, directory: Any) -> bool:
        """Apply a messages.Directory; return whether anything changed.

        An older one is ignored. A partial one comes from a new leader that has not yet
        received heartbeats of all hosts: hosts missing from it are kept, so that a
        failover of control does not disconnect hosts from each other.
        """
        if directory is None or directory.version <= self.version:
            return False
        hosts = {
            entry.host: Host(
                entry.host,
                entry.address,
                entry.zone,
                entry.incarnation,
                tuple(entry.roles or ()),
            )
            for entry in directory.hosts
        }
        if directory.partial:
            hosts = {**self.hosts_by_name, **hosts}
        owners = {
            owner.pool: PoolOwner(
                owner.host, owner.address or "", owner.incarnation or "", owner.epoch
            )
            for owner in directory.owners
        }
        changed = (hosts, owners) != (self.hosts_by_name, self.owners_by_pool)
        self.version = directory.version
        self.hosts_by_name = hosts
        self.owners_by_pool = owners
        return changed
