"""The directory sent by a leader: hosts from its sessions, owners from the log."""

from typing import Any

from bitterntiller.components.control.models import Owner, Session
from bitterntiller.protocol import messages

_TERM_SHIFT = 32


class DirectoryBuilder:
    """Builds the current directory and numbers its versions.

    The high bits of a version are the leader's term. The directory of a new leader
    therefore supersedes that of the previous one, although its count starts over.
    """

    def __init__(self, term: int) -> None:
        self._version = term << _TERM_SHIFT
        self._content: Any = None
        self._incarnation_by_host: dict[str, str] = {}
        self.current = messages.Directory(
            version=self._version, hosts=[], owners=[], partial=True
        )

    def is_missing(self, session: Session) -> bool:
        """Return whether the directory does not list the process of a session yet."""
        return self._incarnation_by_host.get(session.host) != session.incarnation

    def rebuild(
        self,
        sessions_by_host: dict[str, Session],
        owners_by_pool: dict[str, Owner],
        partial: bool,
    ) -> bool:
        """Rebuild the directory; return whether it differs from the last one.

        partial is set while a new leader may not have received heartbeats of all
        hosts yet; nodes then keep the hosts that are missing from the directory.
        """
        hosts = sorted(
            (item.host, item.address, item.zone, item.incarnation, item.roles)
            for item in sessions_by_host.values()
        )
        owners = sorted(owners_by_pool.items())
        content = (hosts, owners, partial)
        if content == self._content:
            return False
        self._content = content
        self._incarnation_by_host = {host[0]: host[3] for host in hosts}
        self._version += 1
        self.current = messages.Directory(
            version=self._version,
            hosts=[messages.HostEntry(*host[:-1], list(host[-1])) for host in hosts],
            owners=[_pool_owner(pool, owner) for pool, owner in owners],
            partial=partial,
        )
        return True


def _pool_owner(pool: str, owner: Owner) -> Any:
    return messages.PoolOwner(
        pool=pool,
        host=owner.host,
        epoch=owner.epoch,
        incarnation=owner.incarnation,
        address=owner.address,
    )
