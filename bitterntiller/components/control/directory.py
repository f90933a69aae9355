"""The directory that a leader sends: hosts from sessions, owners from the log."""

from typing import Any

from bitterntiller.components.control.models import Owner, Session
from bitterntiller.protocol import messages

_TERM_SHIFT = 32


class DirectoryBuilder:
    """Keeps the present directory and numbers its versions.

    A version begins with the term of the leader, so that the directory of a new
    leader goes before that of the last, though it counts from the beginning.
    """

    def __init__(self, term: int) -> None:
        self._version = term << _TERM_SHIFT
        self._content: Any = None
        self._incarnation_by_host: dict[str, str] = {}
        self.current = messages.Directory(
            version=self._version, hosts=[], owners=[], partial=True
        )

    def is_missing(self, session: Session) -> bool:
        """Tell whether the directory does not hold a process yet."""
        return self._incarnation_by_host.get(session.host) != session.incarnation

    def rebuild(
        self,
        sessions_by_host: dict[str, Session],
        owners_by_pool: dict[str, Owner],
        partial: bool,
    ) -> bool:
        """Build the directory anew; tell whether it differs from the last.

        partial is set while a new leader may not yet have heard all hosts;
        nodes then keep the hosts that are lacking.
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
