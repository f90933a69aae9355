"""The processes that a leader hears; kept in memory only, never in the log."""

from collections import deque
from typing import Any

from bitterntiller.components.control.const import MAX_REPLACED, ROLE_DISPATCH
from bitterntiller.components.control.models import Session


class SessionTable:
    """Sessions by host, in the memory of one leader for one term."""

    def __init__(self, started: float) -> None:
        self.by_host: dict[str, Session] = {}
        self._started = started
        self._last_heard: dict[tuple[str, str], float] = {}
        self._replaced: deque[tuple[str, str]] = deque()

    def hear(self, heartbeat: Any, now: float) -> tuple[bool, bool]:
        """Note a messages.Heartbeat; return whether it is known, and news.

        It is not known when another process of that host came after it: the
        heartbeat was delayed, and the process that sent it has been replaced.
        News are what other hosts must hear of: a new process, address or zone.
        """
        process = (heartbeat.host, heartbeat.incarnation)
        if process in self._replaced:
            return False, False
        before = self.by_host.get(heartbeat.host)
        session = _session(heartbeat, now)
        if before is not None and before.incarnation != session.incarnation:
            self._replace(before)
        self.by_host[session.host] = session
        self._last_heard[process] = now
        return True, _public(before) != _public(session)

    def _replace(self, session: Session) -> None:
        self._replaced.append((session.host, session.incarnation))
        of_host = [item for item in self._replaced if item[0] == session.host]
        if len(of_host) > MAX_REPLACED:
            self._replaced.remove(of_host[0])

    def silent_for(self, host: str, incarnation: str, now: float) -> float:
        """Return how many seconds ago a process was heard at the latest.

        A process never heard by this leader may have been heard by the leader
        before, until this one took over.
        """
        return now - self._last_heard.get((host, incarnation), self._started)

    def replaced(self, host: str, incarnation: str) -> bool:
        """Tell whether another process of the host is known by now."""
        session = self.by_host.get(host)
        return session is not None and session.incarnation != incarnation

    def dispatchers(self, now: float, within: float) -> dict[str, Session]:
        """Return the sessions that may be given pools, by host."""
        return {
            host: session
            for host, session in self.by_host.items()
            if ROLE_DISPATCH in session.roles
            and not session.draining
            and now - session.heard <= within
        }

    def forget(self, now: float, after: float) -> bool:
        """Drop the sessions silent for so many seconds; tell if there were any."""
        gone = [host for host, item in self.by_host.items() if now - item.heard > after]
        for host in gone:
            del self.by_host[host]
        for process, heard in list(self._last_heard.items()):
            if now - heard > after:
                del self._last_heard[process]
        return bool(gone)


def _session(heartbeat: Any, now: float) -> Session:
    return Session(
        host=heartbeat.host,
        incarnation=heartbeat.incarnation,
        address=heartbeat.address,
        zone=heartbeat.zone,
        roles=tuple(heartbeat.roles),
        config_version=heartbeat.config_version,
        draining=heartbeat.draining,
        heard=now,
    )


def _public(session: Session | None) -> tuple[str, ...]:
    if session is None:
        return ()
    return (session.host, session.incarnation, session.address, session.zone)
