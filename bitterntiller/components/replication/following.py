"""Follower's side of replication: entries and snapshots from a leader."""

from .errors import SafetyError
from .members import decode_members
from .models import Append, AppendReply, Entry, Snapshot, SnapshotPiece, SnapshotReply
from .state import State


def has_previous_entry(state: State, message: Append) -> bool:
    """Return whether this log holds the entry that the new ones follow."""
    return state.log.term_at(message.prev_index) == message.prev_term


def is_newer_snapshot(state: State, message: SnapshotPiece) -> bool:
    """Return whether a snapshot is ahead of the commit index."""
    return message.last_index > state.commit


def on_append(state: State, message: Append) -> None:
    """Append a leader's entries; the reply is sent once they are synced."""
    if message.prev_index < state.log.base_index:
        # Committed entries are identical on every replica that has them.
        _reply(state, message, True, state.commit)
        return
    if not has_previous_entry(state, message):
        _reply(state, message, False, 0)
        return
    for entry in message.entries:
        _append_or_replace(state, entry)
    last = message.prev_index + len(message.entries)
    state.commit = max(state.commit, min(message.commit, last))
    _reply(state, message, True, last)


def _append_or_replace(state: State, entry: Entry) -> None:
    term = state.log.term_at(entry.index)
    if term == entry.term:
        return
    if term is not None:
        if entry.index <= state.commit:
            raise SafetyError(f"entry {entry.index} is committed and would change")
        state.truncate_from(entry.index)
        state.count("truncations")
    state.append(entry)


def _reply(state: State, message: Append, matched: bool, match: int) -> None:
    hint = state.log.last_index + 1
    if not matched and message.prev_index <= state.log.last_index:
        hint = max(state.log.first_of_term_at(message.prev_index), 1)
    reply = AppendReply(
        state.term,
        state.replica,
        matched,
        match,
        hint,
        message.round,
        state.startup_check.done,
        state.hard.boot,
    )
    state.send_after_sync(message.leader, reply)


def on_piece(state: State, message: SnapshotPiece) -> None:
    """Assemble a snapshot from its pieces in order; install it when complete."""
    if not is_newer_snapshot(state, message):
        _reply_piece(state, message, 0, True)
        return
    key = (message.last_index, message.last_term)
    if state.incoming_snapshot is None or state.incoming_snapshot[:2] != key:
        state.incoming_snapshot = (*key, bytearray())
    data = state.incoming_snapshot[2]
    if message.offset != len(data):
        _reply_piece(state, message, len(data), False)
        return
    data += message.data
    if not message.done:
        _reply_piece(state, message, len(data), False)
        return
    members = decode_members(message.members_index, message.members)
    state.incoming_snapshot = None
    state.install(Snapshot(*key, members, bytes(data)))
    _reply_piece(state, message, len(data), True)


def _reply_piece(state: State, message: SnapshotPiece, size: int, done: bool) -> None:
    reply = SnapshotReply(
        state.term,
        state.replica,
        message.last_index,
        size,
        message.round,
        done,
        state.startup_check.done,
        state.hard.boot,
    )
    state.send_after_sync(message.leader, reply)
