"""When entry hosts were last heard from."""

from typing import NamedTuple

NEVER = float("-inf")


class _Contact(NamedTuple):
    """The first and the last message of a process, and the last one of those before."""

    incarnation: str
    since: float
    heard_at: float
    heard_before: float


class HostContacts:
    """The time of the last message of each entry host, on the clock of this process.

    What runs for a host is known up to its last message only. A process that was killed
    says nothing of its requests, which may have ended long ago, and the one that is
    started in its place doesn't know them.
    """

    def __init__(self) -> None:
        self._contact_by_host: dict[str, _Contact] = {}

    def record(self, host: str, incarnation: str, now: float) -> None:
        """Record a message of a process of a host."""
        known = self._contact_by_host.get(host)
        if known is None:
            contact = _Contact(incarnation, NEVER, now, NEVER)
        elif known.incarnation == incarnation:
            contact = known._replace(heard_at=now)
        else:
            contact = _Contact(incarnation, now, now, known.heard_at)
        self._contact_by_host[host] = contact

    def heard_at(self, host: str, granted_at: float, now: float) -> float:
        """Return when the process was last heard from that a request was granted to.

        That is the present time for a host of which nothing was recorded. Where nothing
        is, as in simulations, all hosts are thus in contact.
        """
        contact = self._contact_by_host.get(host)
        if contact is None:
            return now
        return contact.heard_at if granted_at >= contact.since else contact.heard_before
