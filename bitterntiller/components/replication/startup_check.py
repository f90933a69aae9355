"""The questions that a replica asks of its peers at each start."""

from . import identity
from .const import NO_VOTE, VERDICT_FINE, VOTE_BARRED
from .identity import StartupCheck
from .members import encode_members, find
from .models import Mark, ReturnCheck, ReturnCheckReply
from .state import Role, State

NEVER_REMOVED = 2**62
"""Stands for the index of a membership that is newer than any."""


def on_tick(state: State, now: float) -> None:
    """Ask the other voters, and again when no leader shows up for long.

    Asking again also lowers the floor when the peer with the furthest log has
    been lost since, which would otherwise keep the rest from electing.
    """
    if state.startup_check.done:
        leaderless = now - max(
            state.last_leader_contact, state.startup_check.started_at
        )
        if state.role is Role.LEADER or leaderless < state.tuning.leaderless_timeout:
            return
        # A candidate gives up, since it might else lead without being counted.
        state.role = Role.FOLLOWER
        state.startup_check = StartupCheck(now)
    if now >= state.next_broadcast:
        state.next_broadcast = now + state.tuning.heartbeat
        _send_checks(state)
    _complete_if_sufficient(state, now)


def _send_checks(state: State) -> None:
    check = _check_message(state)
    members = state.startup_check.newest_membership(state.members)
    for voter in sorted(state.startup_check.unanswered_voters(state.replica, members)):
        state.send_after_sync(voter, check)


def _check_message(state: State) -> ReturnCheck:
    # A replica that has not yet met itself in a membership, having just joined,
    # can't have been removed since.
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
    startup_check = state.startup_check
    members = startup_check.newest_membership(state.members)
    late = now >= startup_check.started_at + state.tuning.startup_check_grace
    if not startup_check.is_sufficient(state.replica, members, late):
        return
    partial = bool(startup_check.unanswered_voters(state.replica, members))
    highest = startup_check.complete()
    # A forgotten vote was cast for a candidate of some term up to the highest
    # that the peers know; barring the vote there keeps it from being cast twice.
    if highest > state.term:
        state.set_term(highest, VOTE_BARRED)
    elif state.hard.vote == NO_VOTE and (partial or highest == state.term):
        state.set_term(state.term, VOTE_BARRED)
    state.start_first_election_timer(now)
    state.count("returns_partial" if partial else "returns_full")


def on_check(state: State, message: ReturnCheck) -> None:
    """Tell a starting replica what is remembered of it.

    The reply leaves only after its boot number is synced here.
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
    """Ask a voter that has just started at once, as it can answer from now on.

    Replicas that are started together would otherwise wait for the next round of
    questions, which the last one of them has missed by its start.
    """
    startup_check = state.startup_check
    members = startup_check.newest_membership(state.members)
    if not startup_check.done and replica in startup_check.unanswered_voters(
        state.replica, members
    ):
        state.send_after_sync(replica, _check_message(state))


def reset_progress(state: State, replica: str) -> None:
    """Forget as a leader what a follower held, until it has answered anew.

    A folder that went back in time holds less than was acknowledged. Were the
    index kept, the leader would offer only later entries for ever.
    """
    progress = state.progress_by_replica.get(replica)
    if progress is None:
        return
    progress.counted = False
    progress.snapshot = None
    progress.match = 0
    progress.probe()


def on_check_reply(state: State, message: ReturnCheckReply, now: float) -> None:
    """Note an answer; a verdict against this identity ends its use."""
    if message.asked_boot != state.hard.boot:
        return
    if message.verdict != VERDICT_FINE:
        state.retired = f"{message.verdict} according to {message.voter}"
        state.count("retired")
        return
    if not state.startup_check.done:
        state.startup_check.add_reply(message)
        _complete_if_sufficient(state, now)
