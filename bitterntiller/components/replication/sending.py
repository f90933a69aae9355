"""Messages from a leader to its followers: entries, heartbeats and snapshots."""

from .members import encode_members
from .models import Append, Entry, SnapshotPiece
from .state import State


def broadcast(state: State, now: float) -> None:
    """Send each follower entries if flow control allows.

    Otherwise send a piece of its snapshot, or an empty Append as a heartbeat.
    """
    for replica, progress in state.progress_by_replica.items():
        progress.waiting = False
        if not replicate(state, replica, now):
            _send_heartbeat(state, replica)


def replicate(state: State, replica: str, now: float) -> bool:
    """Send entries as far as flow control allows; return whether any were sent."""
    tuning, progress, sent = state.tuning, state.progress_by_replica[replica], False
    if progress.last_contact < now - tuning.election_max:
        return False
    while progress.next <= state.log.last_index:
        if not progress.may_send(tuning.max_in_flight):
            break
        if progress.next <= state.log.base_index:
            return _begin_snapshot(state, replica)
        entries = state.log.batch(
            progress.next, tuning.batch_entries, tuning.batch_bytes
        )
        _send_append(state, replica, entries)
        progress.sent(entries[-1].index)
        sent = True
    return sent


def _send_heartbeat(state: State, replica: str) -> None:
    progress = state.progress_by_replica[replica]
    if progress.snapshot:
        send_piece(state, replica)
    elif progress.next <= state.log.base_index:
        _begin_snapshot(state, replica)
    else:
        _send_append(state, replica, ())


def _send_append(state: State, replica: str, entries: tuple[Entry, ...]) -> None:
    prev = state.progress_by_replica[replica].next - 1
    message = Append(
        state.term,
        state.replica,
        prev,
        state.log.term_at(prev) or 0,
        entries,
        state.commit,
        state.pending_reads.round,
        state.hard.boot,
    )
    state.send(replica, message)


def _begin_snapshot(state: State, replica: str) -> bool:
    if state.snapshot is None:
        return False
    state.progress_by_replica[replica].begin_snapshot(state.snapshot)
    state.count("snapshots_sent")
    send_piece(state, replica)
    return True


def send_piece(state: State, replica: str) -> None:
    """Send the next piece of the follower's snapshot."""
    progress = state.progress_by_replica[replica]
    snapshot, offset = progress.snapshot, progress.snapshot_offset
    if snapshot is None:
        return
    stop = offset + state.tuning.piece_bytes
    message = SnapshotPiece(
        state.term,
        state.replica,
        snapshot.index,
        snapshot.term,
        offset,
        snapshot.data[offset:stop],
        stop >= len(snapshot.data),
        encode_members(snapshot.members.all),
        state.pending_reads.round,
        snapshot.members.index,
        state.hard.boot,
    )
    state.send(replica, message)
