"""Elections: pre-votes, votes, and which replicas may campaign."""

from . import leading
from .const import NO_VOTE
from .members import quorum, voters
from .models import Mark, PreVote, PreVoteReply, Vote, VoteReply
from .state import Role, State


def is_up_to_date(state: State, last_term: int, last_index: int) -> bool:
    """Return whether a candidate's log is at least as up to date as required.

    It must reach this replica's own log, and the furthest log that the peers reported
    in the startup check.
    """
    own = (state.log.last_term, state.log.last_index)
    return (last_term, last_index) >= max(own, state.startup_check.vote_floor)


def may_vote_for(state: State, candidate: str) -> bool:
    """Return whether the vote of this term is unused or already the candidate's."""
    return state.hard.vote in (NO_VOTE, candidate)


def may_campaign(state: State) -> bool:
    """Return whether this replica may campaign for leadership."""
    if state.stalled or not (_is_or_was_voter(state) and state.startup_check.done):
        return False
    return is_up_to_date(state, state.log.last_term, state.log.last_index)


def _is_or_was_voter(state: State) -> bool:
    """Return whether this replica is a voter, or was one before an uncommitted change.

    While its own removal is uncommitted, it may have the longest log, so that no
    other replica can be elected to commit the removal.
    """
    members = state.members
    if members.index > state.commit and not state.is_voter():
        members = state.members_at(members.index - 1)
    return state.replica in voters(members)


def on_election_timeout(state: State, now: float) -> None:
    """Start a pre-vote because the election timeout has passed without a leader."""
    state.start_retry_timer(now)
    state.leader = ""
    if not may_campaign(state):
        state.role = Role.FOLLOWER
        return
    state.role = Role.PRE_CANDIDATE
    state.count("pre_votes_begun")
    state.votes = {state.replica}
    if _has_quorum(state):
        _campaign(state, now)
        return
    log = state.log
    request = PreVote(
        state.term + 1, state.replica, log.last_index, log.last_term, state.hard.boot
    )
    for voter in _others(state):
        state.send_after_sync(voter, request)


def on_pre_vote(state: State, message: PreVote, now: float) -> None:
    """Reply to a pre-vote request without changing this replica's state.

    A replica in contact with its leader refuses, so that a host that reconnects
    after a network partition can't depose the leader.
    """
    has_leader_contact = state.role is Role.LEADER or (
        state.leader and now < state.last_leader_contact + state.tuning.election_min
    )
    granted = (
        not has_leader_contact
        and state.startup_check.done
        and message.term > state.term
        and is_up_to_date(state, message.last_term, message.last_index)
    )
    term = message.term if granted else state.term
    reply = PreVoteReply(term, state.replica, granted, state.hard.boot)
    state.send_after_sync(message.candidate, reply)


def on_pre_vote_reply(state: State, message: PreVoteReply, now: float) -> None:
    """Campaign once a quorum has granted the pre-vote."""
    if state.role is not Role.PRE_CANDIDATE:
        return
    if not message.granted or message.term != state.term + 1:
        return
    state.votes.add(message.voter)
    if _has_quorum(state):
        _campaign(state, now)


def on_timeout_now(state: State, now: float) -> None:
    """Campaign at once, without a pre-vote, because the leader requested it.

    Voters in contact with the leader would refuse a pre-vote. It is not needed here:
    the leader transfers its leadership itself, so no working leader is deposed.
    """
    if state.role is not Role.LEADER and may_campaign(state):
        state.reset_election_timer(now)
        _campaign(state, now)


def on_vote(state: State, message: Vote, now: float) -> None:
    """Vote at most once per term, and only for a log that is up to date."""
    granted = (
        message.term == state.term
        and state.startup_check.done
        and may_vote_for(state, message.candidate)
        and is_up_to_date(state, message.last_term, message.last_index)
    )
    if granted:
        state.set_term(state.term, message.candidate)
        state.reset_election_timer(now)
    state.count("votes_granted" if granted else "votes_refused")
    reply = VoteReply(state.term, state.replica, granted, state.hard.boot)
    state.send_after_sync(message.candidate, reply)


def on_vote_reply(state: State, message: VoteReply, now: float) -> None:
    """Become the leader once a quorum has voted for this replica."""
    if not message.granted:
        return
    mark = state.marks_by_replica.get(message.voter, Mark())
    if message.term > mark.term:
        state.record_mark(message.voter, Mark(message.boot, message.term, 0))
    if state.role is not Role.CANDIDATE or message.term != state.term:
        return
    state.votes.add(message.voter)
    if _has_quorum(state):
        leading.become_leader(state, now)


def _campaign(state: State, now: float) -> None:
    # Each vote needs a sync; another pre-vote in the meantime would discard the votes.
    state.reset_election_timer(now)
    state.role = Role.CANDIDATE
    state.count("elections_begun")
    state.set_term(state.term + 1, state.replica)
    state.votes = {state.replica}
    if _has_quorum(state):
        leading.become_leader(state, now)
        return
    log = state.log
    request = Vote(
        state.term, state.replica, log.last_index, log.last_term, state.hard.boot
    )
    for voter in _others(state):
        state.send_after_sync(voter, request)


def _has_quorum(state: State) -> bool:
    counted = state.votes & set(voters(state.members))
    return len(counted) >= quorum(state.members)


def _others(state: State) -> list[str]:
    return [voter for voter in voters(state.members) if voter != state.replica]
