"""Leader's side: replication, commits, confirmed reads, membership changes."""

from collections.abc import Iterable

from . import sending
from .const import SMALL_COMMAND_BYTES, SMALL_COMMANDS_FRACTION, EntryKind
from .members import (
    encode_members,
    is_single_change,
    quorum,
    voters,
)
from .models import (
    AppendReply,
    Entry,
    LogPosition,
    Mark,
    Member,
    SnapshotReply,
    TimeoutNow,
)
from .progress import Progress
from .read_index import PendingReads
from .state import Role, State


def become_leader(state: State, now: float) -> None:
    """Become the leader of the current term.

    Entries of earlier terms are committed together with the empty entry appended here.
    """
    state.role = Role.LEADER
    state.repeated_check = None
    state.leader = state.replica
    state.next_broadcast = now
    state.pending_reads = PendingReads()
    state.progress_by_replica = {}
    state.count("terms_led")
    state.caught_up_index = _append_entry(state, EntryKind.NOOP, b"").index
    state.commit_at_heartbeat = state.commit
    _update_tracked_followers(state, now)
    advance_commit(state, now)


def propose(state: State, data: bytes) -> LogPosition | None:
    """Append a command; return None if not the leader or if there is no room."""
    if state.role is not Role.LEADER:
        return None
    if not has_room(state, len(data)):
        state.count("proposals_refused_full")
        return None
    return _append_entry(state, EntryKind.COMMAND, data)


def has_room(state: State, size: int) -> bool:
    """Return whether a command of some bytes may be appended.

    All entries that aren't applied here count, also those that a quorum has committed
    while this replica's own disk is slow. A command larger than the budget is appended
    when nothing else waits.
    """
    if state.log.last_index - state.commit >= state.tuning.max_uncommitted:
        return False
    waiting = state.log.bytes_after(state.delivered)
    allowed = float(state.tuning.budget.uncommitted)
    if size > SMALL_COMMAND_BYTES:
        allowed *= 1 - SMALL_COMMANDS_FRACTION
    return not waiting or waiting + size <= allowed


def may_change_members(state: State) -> bool:
    """Return whether a change of the membership may begin now.

    The last change must be committed, so that only two successive memberships are
    ever in effect at once. An entry of this term must be committed too: otherwise an
    earlier leader's uncommitted change, unknown here, could still take effect and
    have quorums that don't overlap with those of the new membership.
    """
    if state.role is not Role.LEADER or state.members.index > state.commit:
        return False
    return state.log.term_at(state.commit) == state.term


def change_members(
    state: State, new: Iterable[Member], now: float
) -> LogPosition | None:
    """Append a membership that differs by at most one voter; None if refused."""
    new = tuple(new)
    if not may_change_members(state) or not is_single_change(state.members, new):
        return None
    position = _append_entry(state, EntryKind.MEMBERS, encode_members(new))
    _update_tracked_followers(state, now)
    return position


def _append_entry(state: State, kind: int, data: bytes) -> LogPosition:
    entry = Entry(state.log.last_index + 1, state.term, kind, data)
    state.append(entry)
    return LogPosition(entry.index, entry.term)


def _update_tracked_followers(state: State, now: float) -> None:
    old, last = state.progress_by_replica, state.log.last_index
    state.progress_by_replica = {
        member.replica: old.get(member.replica) or Progress(last, now)
        for member in state.members.all
        if member.replica != state.replica
    }


def request_read_index(state: State, token: int) -> bool:
    """Request a confirmed read index; return False if not the leader."""
    if state.role is not Role.LEADER:
        return False
    first = state.log.first_of_term_at(state.log.last_index)
    state.pending_reads.add_request(token, max(state.commit, first))
    return True


def flush(state: State, now: float) -> None:
    """Send a heartbeat round if reads wait for one, else new entries."""
    if state.role is not Role.LEADER:
        return
    if state.pending_reads.begin_round():
        sending.broadcast(state, now)
        _confirm_round(state)
        return
    for replica in state.progress_by_replica:
        sending.replicate(state, replica, now)


def on_tick(state: State, now: float) -> None:
    """Step down if out of contact with a quorum; send heartbeats when due."""
    if not is_quorum_active(state, now):
        state.become_follower(state.term, "", now)
        return
    if now >= state.next_broadcast:
        state.next_broadcast = now + state.tuning.heartbeat
        # Entries committed a heartbeat interval ago have had time to reach all
        # followers; one that lags by less has caught up, however busy the log is.
        state.caught_up_index = max(state.caught_up_index, state.commit_at_heartbeat)
        state.commit_at_heartbeat = state.commit
        sending.broadcast(state, now)


def transfer_leadership(state: State, now: float) -> str:
    """Send the voter with the longest log its missing entries, then TimeoutNow.

    Return the voter; empty if this replica is not the leader or no other voter is in
    contact. Without a transfer the other voters wait for an election timeout, during
    which no lease is renewed.
    """
    if state.role is not Role.LEADER:
        return ""
    oldest = now - state.tuning.election_min
    ready = [
        (progress.match, progress.last_contact, replica)
        for replica, progress in state.progress_by_replica.items()
        if replica in voters(state.members)
        and progress.counted
        and progress.last_contact > oldest
    ]
    if not ready:
        return ""
    successor = max(ready)[2]
    sending.replicate(state, successor, now)
    state.send_after_sync(
        successor, TimeoutNow(state.term, state.replica, state.hard.boot)
    )
    state.count("hand_overs")
    return successor


def is_quorum_active(state: State, now: float) -> bool:
    """Return whether a quorum has been in contact within an election timeout."""
    oldest = now - state.tuning.election_max
    active = [
        replica == state.replica
        or state.progress_by_replica[replica].last_contact > oldest
        for replica in voters(state.members)
    ]
    return sum(active) >= quorum(state.members)


def on_append_reply(state: State, message: AppendReply, now: float) -> None:
    """Update the follower's progress and advance the commit index."""
    progress = _record_contact(state, message.follower, message, now)
    if progress is None:
        return
    if not message.matched:
        progress.rejected(message.hint_index)
        return
    progress.acknowledged(message.match_index)
    _update_mark(state, message, message.match_index)
    advance_commit(state, now)


def on_snapshot_reply(state: State, message: SnapshotReply, now: float) -> None:
    """Send the next piece, or resume with entries once the snapshot is installed."""
    replica = message.follower
    progress = _record_contact(state, replica, message, now)
    if progress is None or progress.snapshot is None:
        return
    if message.last_index != progress.snapshot.index:
        return
    if message.done:
        progress.snapshot = None
        progress.acknowledged(message.last_index)
        _update_mark(state, message, message.last_index)
        advance_commit(state, now)
        return
    if message.offset != progress.snapshot_offset:
        progress.snapshot_offset = message.offset
        sending.send_piece(state, replica)


def _record_contact(
    state: State, replica: str, message: AppendReply | SnapshotReply, now: float
) -> Progress | None:
    progress = state.progress_by_replica.get(replica)
    if state.role is not Role.LEADER or message.term != state.term or progress is None:
        return None
    progress.last_contact = now
    progress.counted = message.counted
    if message.counted:
        progress.round = max(progress.round, message.round)
        _confirm_round(state)
    return progress


def _update_mark(state: State, reply: AppendReply | SnapshotReply, index: int) -> None:
    mark = state.marks_by_replica.get(reply.follower, Mark())
    if (state.term, index) > (mark.term, mark.index):
        state.record_mark(reply.follower, Mark(reply.boot, state.term, index))


def may_commit(state: State, index: int) -> bool:
    """Return whether an entry may be committed by counting replicas.

    An entry of an earlier term can be on a quorum and still be replaced by a later
    leader that lacks it, so only entries of the current term are counted.
    """
    return state.log.term_at(index) == state.term


def advance_commit(state: State, now: float) -> None:
    """Commit the entries that a quorum, including this replica, has synced."""
    if state.role is not Role.LEADER:
        return
    index = _highest_at_quorum(
        state, state.stable, {r: p.match for r, p in state.progress_by_replica.items()}
    )
    if index <= state.commit or not may_commit(state, index):
        return
    state.commit = index
    if state.members.index <= state.commit and not state.is_voter():
        state.become_follower(state.term, "", now)


def _confirm_round(state: State) -> None:
    rounds = {r: p.round for r, p in state.progress_by_replica.items()}
    confirmed = _highest_at_quorum(state, state.pending_reads.round, rounds)
    state.read_outcomes += state.pending_reads.resolve(confirmed)


def _highest_at_quorum(state: State, own: int, value_by_replica: dict[str, int]) -> int:
    """Return the highest value that a quorum of the voters has reached."""
    values = []
    for replica in voters(state.members):
        if replica == state.replica:
            values.append(own)
            continue
        counted = state.progress_by_replica[replica].counted
        values.append(value_by_replica[replica] if counted else 0)
    values.sort(reverse=True)
    return values[quorum(state.members) - 1]
