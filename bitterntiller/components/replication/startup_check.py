"""Startup check: each starting replica asks its peers what they recorded of it."""

from . import identity
from .const import NO_VOTE, VERDICT_FINE, VOTE_BARRED
from .identity import StartupCheck
from .members import encode_members, find
from .models import Mark, ReturnCheck, ReturnCheckReply
from .state import Role, State

NEVER_REMOVED = 2**62
"""Index of a membership newer than any, so that no peer reports a removal."""


def on_tick(state: State, now: float) -> None:
    """Query the other voters, and repeat the check after a long time without a leader.

    Repeating it lowers vote_floor if the peer with the furthest log has been lost
    since, which would otherwise keep the others from electing a leader. Meanwhile the
    replica goes on voting under the completed check: voters that repeat theirs at
    unlike times could otherwise never elect a leader while another voter is down.
    """
    if state.startup_check.done and not _is_repeat_due(state, now):
        return
    if now >= state.next_broadcast:
        state.next_broadcast = now + state.tuning.heartbeat
        _send_checks(state)
    _complete_if_sufficient(state, now)


def _is_repeat_due(state: State, now: float) -> bool:
    """Return whether the check is being repeated; begin to if it is time."""
    met_leader_at = state.last_leader_contact
    repeated = state.repeated_check
    if repeated and repeated.started_at < met_leader_at:
        state.repeated_check = None
        return False
    leaderless = now - max(met_leader_at, state.startup_check.started_at)
    if repeated is None and leaderless >= state.tuning.leaderless_timeout:
        state.repeated_check = StartupCheck(now)
    return state.repeated_check is not None


def _send_checks(state: State) -> None:
    check = _check_message(state)
    pending = state.pending_check()
    members = pending.newest_membership(state.members)
    for voter in sorted(pending.unanswered_voters(state.replica, members)):
        state.send_after_sync(voter, check)


def _check_message(state: State) -> ReturnCheck:
    # A replica that has just joined and is not yet in its own membership can't have
    # been removed from it.
    own = find(state.members, state.replica)
    return ReturnCheck(
        state.term,
        state.replica,
        state.log.last_index,
        NEVER_REMOVED if own is None else state.members.index,
        state.hard.boot,
        "" if own is None else own.address,
    )


def _complete_if_sufficient(state: State, now: float) -> None:
    pending = state.pending_check()
    members = pending.newest_membership(state.members)
    late = now >= pending.started_at + state.tuning.startup_check_grace
    if not pending.is_sufficient(state.replica, members, late):
        return
    partial = bool(pending.unanswered_voters(state.replica, members))
    highest = pending.complete()
    # A forgotten vote was cast in some term up to the highest that the peers know;
    # barring the vote up to there prevents a second one in the same term.
    if highest > state.term:
        state.role = Role.FOLLOWER
        state.set_term(highest, VOTE_BARRED)
    elif state.hard.vote == NO_VOTE and (partial or highest == state.term):
        state.set_term(state.term, VOTE_BARRED)
    if pending is state.repeated_check:
        state.startup_check, state.repeated_check = pending, None
        state.count("returns_repeated")
        return
    state.start_first_election_timer(now)
    state.count("returns_partial" if partial else "returns_full")


def on_check(state: State, message: ReturnCheck) -> None:
    """Reply to a starting replica with the verdict on its identity.

    The reply is sent only after the replica's boot number is synced here.
    """
    replica = message.replica
    mark = state.marks_by_replica.get(replica, Mark())
    verdict = identity.verify_identity(message, mark, state.members, state.commit)
    if verdict == VERDICT_FINE:
        state.record_mark(replica, mark._replace(boot=message.boot), due=True)
    reset_progress(state, replica)
    _check_started_voter(state, replica)
    reply = ReturnCheckReply(
        state.term,
        state.replica,
        message.boot,
        verdict,
        state.log.last_index,
        state.log.last_term,
        state.members.index,
        encode_members(state.members.all),
        state.hard.boot,
    )
    state.send_after_sync(replica, reply)


def _check_started_voter(state: State, replica: str) -> None:
    """Query a voter that has just started at once, since it can reply from now on.

    Replicas that start together would otherwise wait for the next round of checks,
    as the last one of them had not started at the previous round.
    """
    pending = state.pending_check()
    members = pending.newest_membership(state.members)
    if not pending.done and replica in pending.unanswered_voters(
        state.replica, members
    ):
        state.send_after_sync(replica, _check_message(state))


def reset_progress(state: State, replica: str) -> None:
    """Reset a follower's progress on the leader until the follower replies again.

    A folder replaced by an older copy holds less than was acknowledged. If the leader
    kept the match index, it would only ever send later entries.
    """
    progress = state.progress_by_replica.get(replica)
    if progress is None:
        return
    progress.counted = False
    progress.snapshot = None
    progress.match = 0
    progress.probe()


def on_check_reply(state: State, message: ReturnCheckReply, now: float) -> None:
    """Record a reply; retire this identity if the verdict is against it."""
    if message.asked_boot != state.hard.boot:
        return
    if message.verdict != VERDICT_FINE:
        state.retired = f"{message.verdict} according to {message.voter}"
        state.count("retired")
        return
    pending = state.pending_check()
    if not pending.done:
        pending.add_reply(message)
        _complete_if_sufficient(state, now)
