"""Replicated log's section of the state dump."""

from typing import Any

from . import const
from .members import quorum
from .repair_decisions import failure_tolerance, is_healthy
from .state import Role, State


def describe(state: State, applied: int, now: float) -> dict[str, Any]:
    """Return term, leader, members, indexes and lags of this replica."""
    return {
        "kind": "raft",
        const.ATTR_REPLICA: state.replica,
        const.ATTR_BOOT: state.hard.boot,
        const.ATTR_ROLE: str(state.role),
        const.ATTR_TERM: state.term,
        const.ATTR_LEADER: state.leader,
        const.ATTR_QUORUM: quorum(state.members),
        const.ATTR_MEMBERS: [
            _describe_member(state, replica, now)
            for replica in (member.replica for member in state.members.all)
        ],
        const.ATTR_COMMIT: state.commit,
        const.ATTR_APPLIED: applied,
        const.ATTR_LAST: state.log.last_index,
        const.ATTR_STABLE: state.stable,
        const.ATTR_SNAPSHOT: state.snapshot.index if state.snapshot else 0,
        const.ATTR_SURVIVES: failure_tolerance(state, now),
        "may_vote": state.startup_check.done,
        "retired": state.retired,
        "leader_heard_s_ago": round(now - state.last_leader_contact, 3),
        const.ATTR_COUNTERS: dict(state.counters),
    }


def _describe_member(state: State, replica: str, now: float) -> dict[str, Any]:
    member = next(m for m in state.members.all if m.replica == replica)
    described: dict[str, Any] = {
        "replica": replica,
        "host": member.host,
        "address": member.address,
        "voter": member.voter,
    }
    progress = state.progress_by_replica.get(replica)
    if state.role is not Role.LEADER or progress is None:
        return described
    described["match_index"] = progress.match
    described["lag"] = state.log.last_index - progress.match
    described["heard_s_ago"] = round(now - progress.last_contact, 3)
    described["sound"] = is_healthy(state, replica, now)
    described["snapshot_offset"] = progress.snapshot_offset if progress.snapshot else -1
    return described
