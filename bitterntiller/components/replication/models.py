"""Entries, messages, records and effects of the replicated log.

Each message starts with the term and the id of the sending replica. After its own
fields comes boot, the number that identifies the sender's current start.
"""

from typing import NamedTuple

from bitterntiller.components.settings.models import Limits

from .budget import ReplicaBudget, replica_budget
from .const import (
    DEFAULT_BATCH_BYTES,
    DEFAULT_BATCH_ENTRIES,
    DEFAULT_FIRST_ELECTION_SPACING,
    DEFAULT_LEADERLESS_TIMEOUT,
    DEFAULT_MAX_IN_FLIGHT,
    DEFAULT_MAX_UNCOMMITTED,
    DEFAULT_PIECE_BYTES,
    DEFAULT_SILENT_VOTER_TIMEOUT,
    DEFAULT_STARTUP_CHECK_GRACE,
    DEFAULT_TRAILING_ENTRIES,
)


class Entry(NamedTuple):
    """Log entry; kind is an EntryKind."""

    index: int
    term: int
    kind: int
    data: bytes


class Member(NamedTuple):
    """Replica in a membership.

    promote marks a learner that becomes a voter once it has caught up.
    """

    replica: str
    host: str
    address: str
    voter: bool
    promote: bool = False


class Membership(NamedTuple):
    """Membership set by the entry at that index; index 0 means none."""

    index: int
    all: tuple[Member, ...]


class Snapshot(NamedTuple):
    """State of the state machine after the entry with that index and term."""

    index: int
    term: int
    members: Membership
    data: bytes


class Mark(NamedTuple):
    """High-water mark of what a peer has acknowledged.

    boot is the newest start recorded for the peer; index is the last entry that it
    acknowledged to a leader of that term, 0 for a vote alone.
    """

    boot: int = 0
    term: int = 0
    index: int = 0


class HardState(NamedTuple):
    """Current term, the vote in it, and the boot number of the latest start."""

    term: int = 0
    vote: str = ""
    boot: int = 0


class PersistentState(NamedTuple):
    """State that a data folder holds when the replica starts."""

    replica: str
    hard: HardState
    marks_by_replica: dict[str, Mark]
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]


class PreVote(NamedTuple):
    """Asks whether the receiver would vote for the sender in that term."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    boot: int = 0


class PreVoteReply(NamedTuple):
    """Reply to PreVote; term is the requested term if granted, else the voter's."""

    term: int
    voter: str
    granted: bool
    boot: int = 0


class Vote(NamedTuple):
    """Requests a vote in that term (RequestVote in the Raft paper)."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    boot: int = 0


class VoteReply(NamedTuple):
    """Reply to Vote."""

    term: int
    voter: str
    granted: bool
    boot: int = 0


class TimeoutNow(NamedTuple):
    """Makes the target of a leadership transfer campaign at once."""

    term: int
    leader: str
    boot: int = 0


class Append(NamedTuple):
    """Entries after the one at prev_index (AppendEntries); a heartbeat if empty."""

    term: int
    leader: str
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int
    boot: int = 0


class AppendReply(NamedTuple):
    """Reply to Append.

    If matched, the log up to match_index is synced; if not, hint_index is the index
    to probe next. counted is False while the follower must not count in a quorum.
    """

    term: int
    follower: str
    matched: bool
    match_index: int
    hint_index: int
    round: int
    counted: bool = True
    boot: int = 0


class SnapshotPiece(NamedTuple):
    """Bytes of a snapshot from that offset on (InstallSnapshot in the Raft paper)."""

    term: int
    leader: str
    last_index: int
    last_term: int
    offset: int
    data: bytes
    done: bool
    members: bytes
    round: int
    members_index: int = 0
    boot: int = 0


class SnapshotReply(NamedTuple):
    """Reports the bytes received so far; done once the snapshot is synced."""

    term: int
    follower: str
    last_index: int
    offset: int
    round: int
    done: bool = False
    counted: bool = True
    boot: int = 0


class ReturnCheck(NamedTuple):
    """Startup check: asks a peer what it has recorded of the sender.

    address lets a host reply that has lost its disk and therefore knows no members.
    """

    term: int
    replica: str
    last_index: int
    members_index: int
    boot: int = 0
    address: str = ""


class ReturnCheckReply(NamedTuple):
    """Reply to ReturnCheck: a VERDICT_ constant and the voter's state."""

    term: int
    voter: str
    asked_boot: int
    verdict: str
    last_index: int
    last_term: int
    members_index: int
    members: bytes
    boot: int = 0


Message = (
    PreVote
    | PreVoteReply
    | Vote
    | VoteReply
    | TimeoutNow
    | Append
    | AppendReply
    | SnapshotPiece
    | SnapshotReply
    | ReturnCheck
    | ReturnCheckReply
)


class Outgoing(NamedTuple):
    """Message and the id of the receiving replica."""

    to: str
    message: Message


class Persist(NamedTuple):
    """Records to sync in one write, whose number is reported back once synced.

    With a snapshot, entries is the whole log after it and replaces the old log;
    otherwise truncate_from is applied before entries.
    """

    number: int
    hard: HardState | None
    marks_by_replica: dict[str, Mark] | None
    truncate_from: int | None
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None


class ReadOutcome(NamedTuple):
    """Confirmed read index, or None if leadership was not confirmed."""

    token: int
    index: int | None


class Effects(NamedTuple):
    """Work for the caller, to be done in this order.

    messages depend on no unsynced record. restore replaces the state before
    committed entries are applied. retired is the reason why this identity must no
    longer be used; if set, the other fields are ignored.
    """

    persist: Persist | None
    messages: tuple[Outgoing, ...]
    restore: Snapshot | None
    committed: tuple[Entry, ...]
    reads: tuple[ReadOutcome, ...]
    retired: str


class LogPosition(NamedTuple):
    """Position of a proposed entry in the log."""

    index: int
    term: int


class Tuning(NamedTuple):
    """Timeouts in seconds, and limits of flow control.

    target_voters is the number of voters up to which the leader promotes hosts that
    join; 0 leaves promotion to operators' commands. With a target, a voter that is
    silent for silent_voter_timeout is replaced by a learner of another host that has
    caught up. first_election_spacing is the time between the campaigns of two voters
    that have met no leader since their start. budget limits the bytes of what is kept.
    """

    election_min: float = 0.6
    election_max: float = 1.2
    first_election_spacing: float = DEFAULT_FIRST_ELECTION_SPACING
    heartbeat: float = 0.15
    startup_check_grace: float = DEFAULT_STARTUP_CHECK_GRACE
    leaderless_timeout: float = DEFAULT_LEADERLESS_TIMEOUT
    silent_voter_timeout: float = DEFAULT_SILENT_VOTER_TIMEOUT
    target_voters: int = 0
    batch_bytes: int = DEFAULT_BATCH_BYTES
    batch_entries: int = DEFAULT_BATCH_ENTRIES
    max_in_flight: int = DEFAULT_MAX_IN_FLIGHT
    piece_bytes: int = DEFAULT_PIECE_BYTES
    max_uncommitted: int = DEFAULT_MAX_UNCOMMITTED
    trailing_entries: int = DEFAULT_TRAILING_ENTRIES
    budget: ReplicaBudget = replica_budget(Limits())
