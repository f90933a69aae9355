"""The section of control in the state dump of a process."""

from typing import Any

from bitterntiller.components.control.leader import LeaderTerm
from bitterntiller.components.control.state import ControlState
from bitterntiller.components.settings.models import Timings
from bitterntiller.core.interfaces import ReplicatedLog


def describe(
    log: ReplicatedLog,
    state: ControlState,
    term: LeaderTerm | None,
    timings: Timings,
    now: float,
) -> dict[str, Any]:
    """Return the state of the log, of this replica and, on the leader, of its term."""
    document: dict[str, Any] = {
        "log": dict(log.status()),
        "state": _describe_state(state),
        "in_force_within_ms": int(timings.lease * 1000),
    }
    if term is not None:
        document["leader"] = _describe_term(term, now)
    return document


def _describe_state(state: ControlState) -> dict[str, Any]:
    return {
        "applied": state.applied,
        "time_ms": state.time_ms,
        "config_version": state.configuration.version,
        "change_ids": len(state.configuration.outcomes_by_id),
        "claims": len(state.claims.records_by_key),
        "owners": {
            pool: owner._asdict()
            for pool, owner in state.ownership.owners_by_pool.items()
        },
    }


def _describe_term(term: LeaderTerm, now: float) -> dict[str, Any]:
    return {
        "term": term.term,
        "since_s": round(now - term.started, 3),
        "directory_version": term.directory.current.version,
        "in_force_version": term.in_force_version(now),
        "sessions": {
            host: {
                "incarnation": session.incarnation,
                "address": session.address,
                "zone": session.zone,
                "config_version": session.config_version,
                "draining": session.draining,
                "heard_s_ago": round(now - session.last_heartbeat_at, 3),
            }
            for host, session in term.sessions.by_host.items()
        },
    }
