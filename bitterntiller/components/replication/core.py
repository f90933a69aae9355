"""One replica as a pure state machine: messages and ticks in, effects out.

The caller carries out what take() returns: it syncs persist and reports it by
persisted(), sends messages, and applies committed entries. It calls take()
after each of the other calls.
"""

import random
from collections.abc import Iterable

from . import election, following, leading, startup_check
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

_TERMLESS = (PreVote, PreVoteReply, ReturnCheck, ReturnCheckReply)
"""Messages whose term is a question or a statement, not the sender's claim."""


def is_outdated(state: State, message: Message) -> bool:
    """Tell whether a message comes from an earlier term."""
    return message.term < state.term


def is_from_earlier_boot(state: State, message: Message) -> bool:
    """Tell whether the sender has been started anew since it sent this.

    Two processes on copies of one folder would otherwise both be heard.
    """
    if isinstance(message, ReturnCheck):
        return False
    mark = state.marks_by_replica.get(message[1], Mark())
    return message.boot < mark.boot


class Replica:
    """A replica of the log; now is in seconds of a clock that never goes back."""

    def __init__(
        self, restored: PersistentState, tuning: Tuning, rng: random.Random, now: float
    ) -> None:
        self.state = State(restored, tuning, rng, now)
        startup_check.on_tick(self.state, now)

    def bootstrap(self, members: Iterable[Member]) -> None:
        """Begin a new deployment's log with its first membership."""
        state = self.state
        if state.log.last_index or state.members.index:
            return
        state.set_term(max(state.term, 1), VOTE_BARRED)
        state.append(Entry(1, 1, EntryKind.MEMBERS, encode_members(members)))

    def tick(self, now: float) -> None:
        """Let time pass; to be called several times per heartbeat."""
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
        """Take a message of another replica."""
        state = self.state
        if state.retired or is_from_earlier_boot(state, message):
            return
        if isinstance(message, _TERMLESS):
            self._receive_termless(message, now)
            return
        if message.term > state.term:
            state.become_follower(message.term, "", now)
        if is_outdated(state, message):
            self._reply_to_outdated(message, now)
            return
        self._receive_in_term(message, now)

    def _receive_termless(self, message: Message, now: float) -> None:
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
        """Tell a deposed leader or a late candidate the present term."""
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
        """Append a command; None when it is certainly not in the log."""
        return leading.propose(self.state, data)

    def request_read_index(self, token: int) -> bool:
        """Ask for a confirmed read index; False when this is no leader."""
        return leading.request_read_index(self.state, token)

    def change_members(
        self, members: Iterable[Member], now: float
    ) -> LogPosition | None:
        """Change the membership by one voter at most; None when refused."""
        return leading.change_members(self.state, members, now)

    def set_stalled(self, stalled: bool, now: float) -> bool:
        """Note whether the disk stalls; tell whether that is news.

        With a stalled disk this replica neither leads nor tries to.
        """
        state = self.state
        if state.stalled == stalled:
            return False
        state.stalled = stalled
        if stalled and state.role is Role.LEADER:
            state.become_follower(state.term, "", now)
        return True

    def transfer_leadership(self, now: float) -> str:
        """Have another voter lead; return which, empty when none can be asked."""
        return leading.transfer_leadership(self.state, now)

    def snapshot_taken(self, index: int, data: bytes) -> None:
        """Hand in the state as it was after an applied entry."""
        self.state.snapshot_taken(index, data)

    def persisted(self, number: int, now: float) -> None:
        """Report that the records of take() with that number are synced."""
        self.state.persisted(number)
        leading.advance_commit(self.state, now)

    def take_effects(self, now: float) -> Effects:
        """Return what is to be done now, never the same thing twice."""
        leading.flush(self.state, now)
        return self.state.take_effects()
