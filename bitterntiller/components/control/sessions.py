"""Sessions of processes with the leader; in memory only, never in the log."""

from collections import deque
from typing import Any

from bitterntiller.components.control.const import (
    MAX_REPLACED_INCARNATIONS,
    ROLE_DISPATCH,
)
from bitterntiller.components.control.models import Session


class SessionTable:
    """Sessions by host, kept by a leader during one term."""

    def __init__(self, started: float) -> None:
        self.by_host: dict[str, Session] = {}
        self._started = started
        self._granted_at: dict[tuple[str, str], float] = {}
        self._replaced: deque[tuple[str, str]] = deque()

    def record_heartbeat(self, heartbeat: Any, now: float) -> Session | None:
        """Record a messages.Heartbeat and return the session.

        None if another process of the host has sent a heartbeat since: this heartbeat
        was delayed and its process has been replaced.
        """
        if (heartbeat.host, heartbeat.incarnation) in self._replaced:
            return None
        before = self.by_host.get(heartbeat.host)
        if before is not None and before.incarnation != heartbeat.incarnation:
            self._replace(before)
            before = None
        session = _session(heartbeat, before, now)
        self.by_host[session.host] = session
        return session

    def record_grant(self, session: Session) -> None:
        """Record that the last heartbeat of a session is answered with a lease."""
        self._granted_at[(session.host, session.incarnation)] = (
            session.last_heartbeat_at
        )

    def drain(self, host: str, incarnation: str) -> None:
        """Stop assigning pools to a process that is about to stop."""
        session = self.by_host.get(host)
        if session is not None and session.incarnation == incarnation:
            self.by_host[host] = session._replace(draining=True)

    def _replace(self, session: Session) -> None:
        self._replaced.append((session.host, session.incarnation))
        of_host = [item for item in self._replaced if item[0] == session.host]
        if len(of_host) > MAX_REPLACED_INCARNATIONS:
            self._replaced.remove(of_host[0])

    def seconds_since_grant(self, host: str, incarnation: str, now: float) -> float:
        """Return a lower bound of the seconds since a process's last lease began.

        A lease begins when the process sends the heartbeat; this counts from its
        arrival. A process without a lease from this leader may have got one from the
        previous leader until the takeover.
        """
        return now - self._granted_at.get((host, incarnation), self._started)

    def is_replaced(self, host: str, incarnation: str) -> bool:
        """Return whether the host's session belongs to another process."""
        session = self.by_host.get(host)
        return session is not None and session.incarnation != incarnation

    def assignable_sessions(self, now: float, within: float) -> dict[str, Session]:
        """Return the sessions that pools can be assigned to, by host."""
        return {
            host: session
            for host, session in self.by_host.items()
            if ROLE_DISPATCH in session.roles
            and not session.draining
            and session.unleased_since is None
            and now - session.last_heartbeat_at <= within
        }

    def expire(self, now: float, after: float) -> None:
        """Drop the sessions and grants that are more than after seconds old."""
        gone = [
            host
            for host, item in self.by_host.items()
            if now - item.last_heartbeat_at > after
        ]
        for host in gone:
            del self.by_host[host]
        for process, granted_at in list(self._granted_at.items()):
            if now - granted_at > after:
                del self._granted_at[process]


def _session(heartbeat: Any, before: Session | None, now: float) -> Session:
    unleased_since = None
    if not heartbeat.leased:
        known = before.unleased_since if before else None
        unleased_since = now if known is None else known
    return Session(
        host=heartbeat.host,
        incarnation=heartbeat.incarnation,
        address=heartbeat.address,
        zone=heartbeat.zone,
        roles=tuple(heartbeat.roles),
        config_version=heartbeat.config_version,
        draining=heartbeat.draining,
        last_heartbeat_at=now,
        unleased_since=unleased_since,
    )
