"""The in-memory state of a leader during one term."""

from collections.abc import Iterable

from bitterntiller.components.control.const import SESSION_TIMEOUT
from bitterntiller.components.control.directory import DirectoryBuilder
from bitterntiller.components.control.models import Owner, Session
from bitterntiller.components.control.placement import plan_assignments
from bitterntiller.components.control.registrar import Registrar
from bitterntiller.components.control.sessions import SessionTable
from bitterntiller.components.control.state import ControlState
from bitterntiller.components.settings.models import Timings
from bitterntiller.protocol import messages


class LeaderTerm:
    """Sessions, directory and cluster time of a leader; times in seconds.

    A new leader does not have the memory of the previous one and must assume that
    leases granted by it are still valid: every owner may hold its lease for a whole
    owner_lease after the takeover.
    """

    def __init__(
        self, term: int, now: float, state: ControlState, timings: Timings
    ) -> None:
        self.term = term
        self.started = now
        self.sessions = SessionTable(now)
        self.directory = DirectoryBuilder(term)
        self.registrar = Registrar(now, state.upstreams, timings)
        self._state = state
        self._timings = timings
        self._time_base_ms = state.time_ms

    def cluster_ms(self, now: float) -> int:
        """Return the cluster time in milliseconds; it never decreases."""
        elapsed_ms = int((now - self.started) * 1000)
        return max(self._state.time_ms, self._time_base_ms + elapsed_ms)

    def owner_settle_elapsed(self, now: float) -> bool:
        """Return whether most hosts have had time to send a heartbeat in this term."""
        return now - self.started >= self._timings.owner_settle

    def owner_lease_elapsed(self, now: float) -> bool:
        """Return whether a host without a heartbeat in this term counts as silent."""
        return now - self.started >= self._timings.owner_lease

    def rebuild_directory(self, now: float) -> bool:
        """Update the directory; return whether it changed."""
        self.sessions.expire(now, SESSION_TIMEOUT)
        partial = not self.owner_lease_elapsed(now)
        owners_by_pool = self._state.ownership.owners_by_pool
        return self.directory.rebuild(self.sessions.by_host, owners_by_pool, partial)

    def lease_expired(self, host: str, incarnation: str, now: float) -> bool:
        """Return whether a process certainly can't act as an owner any more.

        Its lease is shorter than owner_lease and starts when it sends a heartbeat, so
        before this or an earlier leader received that heartbeat and granted the lease.
        """
        elapsed = self.sessions.seconds_since_grant(host, incarnation, now)
        return elapsed > self._timings.owner_lease

    def may_grant(self, session: Session, now: float) -> bool:
        """Return whether a process may get a lease.

        Heartbeats of an owner can arrive although it holds no lease: replies do not
        reach it, or its software can't apply the configuration. Its pools would then
        be blocked forever. It gets no lease until its pools can be assigned to
        others; after that it gets leases again, as it no longer owns any pool.
        """
        since = session.unleased_since
        if since is None or now - since <= self._timings.owner_lease:
            return True
        process = (session.host, session.incarnation)
        owners = self._state.ownership.owners_by_pool.values()
        return all((owner.host, owner.incarnation) != process for owner in owners)

    def is_holder_dead(self, host: str, incarnation: str, now: float) -> bool:
        """Return whether a claim's holder was replaced or its lease has expired."""
        replaced = self.sessions.is_replaced(host, incarnation)
        return replaced or self.lease_expired(host, incarnation, now)

    def plan(self, pools: Iterable[str], now: float) -> list[messages.Assignment]:
        """Return the pool assignments that are due."""
        if not self.owner_settle_elapsed(now):
            return []

        def lease_expired(owner: Owner) -> bool:
            return self.lease_expired(owner.host, owner.incarnation, now)

        hosts = self.sessions.assignable_sessions(now, self._timings.owner_lease)
        owners_by_pool = self._state.ownership.owners_by_pool
        return plan_assignments(pools, owners_by_pool, hosts, lease_expired)

    def in_force_version(self, now: float) -> int | None:
        """Return the lowest configuration version that a node with a lease may use.

        None while a node may still hold a lease from an earlier leader.
        """
        lease = self._timings.lease
        if now - self.started <= lease:
            return None
        versions = [
            session.config_version
            for session in self.sessions.by_host.values()
            if now - session.last_heartbeat_at <= lease
        ]
        return min(versions, default=self._state.configuration.version)
