"""One replica as a pure state machine: messages and ticks in, effects out.

The caller executes what take_effects() returns: it syncs persist and reports it with
persisted(), sends messages, and applies committed entries. It calls take_effects()
after each of the other calls.
"""

import random
from collections.abc import Iterable

from . import election, following, leading, sending, startup_check
from .const import VOTE_BARRED, EntryKind
from .errors import SafetyError
from .members import encode_members
from .models import (
    Append,
    AppendReply,
    Effects,
    Entry,
    LogPosition,
    Mark,
    Member,
    Message,
    PersistentState,
    PreVote,
    PreVoteReply,
    ReturnCheck,
    ReturnCheckReply,
    SnapshotPiece,
    SnapshotReply,
    TimeoutNow,
    Tuning,
    Vote,
    VoteReply,
)
from .state import Role, State

_WITHOUT_TERM_CHECK = (PreVote, PreVoteReply, ReturnCheck, ReturnCheckReply)
"""Messages exempt from the rule that a higher term is adopted and a lower one rejected:
a pre-vote and its grant carry a term that the sender of the pre-vote has not entered, a
startup check and its reply only report the sender's term."""


def is_outdated(state: State, message: Message) -> bool:
    """Return whether a message is from an earlier term."""
    return message.term < state.term


def is_from_earlier_boot(state: State, message: Message) -> bool:
    """Return whether the sender has restarted since it sent this message.

    Otherwise messages of two processes on copies of one folder would both count.
    """
    if isinstance(message, ReturnCheck):
        return False
    mark = state.marks_by_replica.get(message[1], Mark())
    return message.boot < mark.boot


class Replica:
    """A replica of the log; now is the time of a monotonic clock in seconds."""

    def __init__(
        self, restored: PersistentState, tuning: Tuning, rng: random.Random, now: float
    ) -> None:
        self.state = State(restored, tuning, rng, now)
        startup_check.on_tick(self.state, now)

    def bootstrap(self, members: Iterable[Member]) -> None:
        """Start the log of a new deployment with its first membership."""
        state = self.state
        if state.log.last_index or state.members.index:
            return
        state.set_term(max(state.term, 1), VOTE_BARRED)
        state.append(Entry(1, 1, EntryKind.MEMBERS, encode_members(members)))

    def tick(self, now: float) -> None:
        """Process timeouts; call this several times per heartbeat interval."""
        state = self.state
        if state.retired:
            return
        if state.role is Role.LEADER:
            leading.on_tick(state, now)
            return
        startup_check.on_tick(state, now)
        if now >= state.election_deadline:
            election.on_election_timeout(state, now)

    def receive(self, message: Message, now: float) -> None:
        """Process a message from another replica."""
        state = self.state
        if state.retired or is_from_earlier_boot(state, message):
            return
        if isinstance(message, _WITHOUT_TERM_CHECK):
            self._receive_without_term_check(message, now)
            return
        if message.term > state.term:
            state.become_follower(message.term, "", now)
        if is_outdated(state, message):
            self._reply_to_outdated(message, now)
            return
        self._receive_in_term(message, now)

    def _receive_without_term_check(self, message: Message, now: float) -> None:
        state = self.state
        match message:
            case PreVote():
                election.on_pre_vote(state, message, now)
            case PreVoteReply():
                if not message.granted and message.term > state.term:
                    state.become_follower(message.term, "", now)
                election.on_pre_vote_reply(state, message, now)
            case ReturnCheck():
                startup_check.on_check(state, message)
            case ReturnCheckReply():
                startup_check.on_check_reply(state, message, now)

    def _receive_in_term(self, message: Message, now: float) -> None:
        state = self.state
        match message:
            case Vote():
                election.on_vote(state, message, now)
            case VoteReply():
                election.on_vote_reply(state, message, now)
            case TimeoutNow():
                election.on_timeout_now(state, now)
            case Append():
                self._on_leader_message(message.leader, now)
                following.on_append(state, message)
            case SnapshotPiece():
                self._on_leader_message(message.leader, now)
                following.on_piece(state, message)
            case AppendReply():
                leading.on_append_reply(state, message, now)
            case SnapshotReply():
                leading.on_snapshot_reply(state, message, now)

    def _on_leader_message(self, leader: str, now: float) -> None:
        state = self.state
        if state.role is Role.LEADER:
            raise SafetyError(f"{leader} leads term {state.term} as this replica does")
        state.become_follower(state.term, leader, now)
        state.last_leader_contact = now
        state.has_met_leader = True
        state.reset_election_timer(now)

    def _reply_to_outdated(self, message: Message, now: float) -> None:
        """Reply with the current term to a deposed leader or a late candidate."""
        state = self.state
        match message:
            case Vote():
                election.on_vote(state, message, now)
            case Append():
                reply = AppendReply(
                    state.term,
                    state.replica,
                    False,
                    0,
                    state.log.last_index + 1,
                    0,
                    False,
                    state.hard.boot,
                )
                state.send_after_sync(message.leader, reply)

    def propose(self, data: bytes) -> LogPosition | None:
        """Append a command; return None if it is certainly not in the log."""
        return leading.propose(self.state, data)

    def has_room(self, size: int) -> bool:
        """Return whether a command of some bytes may be appended now."""
        return leading.has_room(self.state, size)

    def request_read_index(self, token: int) -> bool:
        """Request a confirmed read index; return False if not the leader."""
        return leading.request_read_index(self.state, token)

    def change_members(
        self, members: Iterable[Member], now: float
    ) -> LogPosition | None:
        """Change the membership by at most one voter; return None if refused."""
        return leading.change_members(self.state, members, now)

    def set_stalled(self, stalled: bool, now: float) -> bool:
        """Record whether the disk is stalled; return whether this has changed.

        With a stalled disk this replica neither leads nor campaigns.
        """
        state = self.state
        if state.stalled == stalled:
            return False
        state.stalled = stalled
        if stalled and state.role is Role.LEADER:
            state.become_follower(state.term, "", now)
        return True

    def transfer_leadership(self, now: float) -> str:
        """Start a leadership transfer; return the chosen voter, empty without one."""
        return leading.transfer_leadership(self.state, now)

    def snapshot_taken(self, index: int, data: bytes) -> None:
        """Store a snapshot of the state after an applied entry."""
        self.state.snapshot_taken(index, data)
        sending.limit_pinned(self.state)

    def persisted(self, number: int, now: float) -> None:
        """Report that the write with that number is synced."""
        self.state.persisted(number)
        leading.advance_commit(self.state, now)

    def take_effects(self, now: float) -> Effects:
        """Return the effects that are due, each of them once."""
        leading.flush(self.state, now)
        return self.state.take_effects()
