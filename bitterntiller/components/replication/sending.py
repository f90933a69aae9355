"""Messages from a leader to its followers: entries, heartbeats and snapshots."""

from .members import encode_members
from .memory import entries_bytes, pinned_by_index, pinned_bytes
from .models import Append, Entry, Snapshot, SnapshotPiece
from .state import State


def broadcast(state: State, now: float) -> None:
    """Send each follower entries if flow control allows.

    Otherwise send a piece of its snapshot, or an empty Append as a heartbeat.
    """
    for replica, progress in state.progress_by_replica.items():
        progress.waiting = False
        if not replicate(state, replica, now):
            _send_heartbeat(state, replica, now)


def replicate(state: State, replica: str, now: float) -> bool:
    """Send entries as far as flow control allows; return whether any were sent."""
    tuning, progress, sent = state.tuning, state.progress_by_replica[replica], False
    if progress.last_contact < now - tuning.election_max:
        return False
    while progress.next <= state.log.last_index:
        if not progress.may_send(tuning.max_in_flight, tuning.budget.in_flight):
            break
        if progress.next <= state.log.base_index:
            return _begin_snapshot(state, replica)
        entries = state.log.batch(
            progress.next, tuning.batch_entries, tuning.batch_bytes
        )
        _send_append(state, replica, entries)
        progress.sent(entries[-1].index, entries_bytes(entries))
        sent = True
    return sent


def _send_heartbeat(state: State, replica: str, now: float) -> None:
    progress = state.progress_by_replica[replica]
    if progress.snapshot is None and progress.next > state.log.base_index:
        _send_append(state, replica, ())
    elif progress.last_contact < now - state.tuning.election_max:
        # A piece for each heartbeat of a follower that is down would fill the queues.
        send_empty_piece(state, replica)
    elif progress.snapshot:
        send_piece(state, replica)
    else:
        _begin_snapshot(state, replica)


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


def limit_pinned(state: State) -> None:
    """Keep the older snapshots that followers still load within their budget.

    Followers that began last begin again with the newest snapshot. The one that began
    first goes on, whatever the size of its snapshot: if all began again with each new
    snapshot, a slow follower would never finish.
    """
    while pinned_bytes(state) > state.tuning.budget.pinned:
        older = sorted(pinned_by_index(state))
        if len(older) < 2 or state.snapshot is None:
            return
        for progress in state.progress_by_replica.values():
            if progress.snapshot and progress.snapshot.index == older[-1]:
                progress.begin_snapshot(state.snapshot)
        state.count("snapshots_begun_again")


def send_piece(state: State, replica: str) -> None:
    """Send the next piece of the follower's snapshot."""
    progress = state.progress_by_replica[replica]
    snapshot, offset = progress.snapshot, progress.snapshot_offset
    if snapshot is None:
        return
    stop = offset + state.tuning.piece_bytes
    done = stop >= len(snapshot.data)
    _send_data(state, replica, snapshot, snapshot.data[offset:stop], done)


def send_empty_piece(state: State, replica: str) -> None:
    """Send a piece without data, as a heartbeat; the reply tells what has arrived."""
    snapshot = state.progress_by_replica[replica].snapshot or state.snapshot
    if snapshot is not None:
        _send_data(state, replica, snapshot, b"", False)


def _send_data(
    state: State, replica: str, snapshot: Snapshot, data: bytes, done: bool
) -> None:
    message = SnapshotPiece(
        state.term,
        state.replica,
        snapshot.index,
        snapshot.term,
        state.progress_by_replica[replica].snapshot_offset,
        data,
        done,
        encode_members(snapshot.members.all),
        state.pending_reads.round,
        snapshot.members.index,
        state.hard.boot,
    )
    state.send(replica, message)
