"""The hosts and the owners of pools, as a node last heard them."""

from typing import Any

from bitterntiller.components.node.models import Host, PoolOwner
from bitterntiller.core.interfaces import Ownership


class NodeDirectory:
    """The newest directory; a core DirectoryView."""

    def __init__(self, host: str, incarnation: str) -> None:
        self._host = host
        self._incarnation = incarnation
        self._released: set[tuple[str, int]] = set()
        self.version = 0
        self.hosts_by_name: dict[str, Host] = {}
        self.owners_by_pool: dict[str, PoolOwner] = {}

    def owner(self, pool: str) -> Ownership | None:
        """Return the owner of a pool, None when nobody has it.

        A process started anew does not take the ownership of the one before it
        on the same host for its own: that one may have granted work under the
        epoch which this one knows nothing of. It waits for an epoch of its own.
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
        """Stop to be the owner of pools, before control hears of it.

        Control may settle another owner as soon as it has the release, long
        before this process hears of that.
        """
        for pool in pools:
            owner = self.owner(pool)
            if owner is not None and owner.host == self._host:
                self._released.add((pool, owner.epoch))

    def apply(self, directory: Any) -> bool:
        """Apply a messages.Directory; tell whether anything changed.

        An older one is dropped. While a new leader has not heard all hosts, the
        ones that it lacks are kept, so that a failover of control does not cut
        the hosts off from each other.
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
