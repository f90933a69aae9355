"""Entries, messages, records and effects of the replicated log.

Each message has the term first and the id of the sending replica second, and
the sender's boot number, which names its start, behind what it tells.
"""

from typing import NamedTuple

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
    """One entry of the log; kind is an EntryKind."""

    index: int
    term: int
    kind: int
    data: bytes


class Member(NamedTuple):
    """A replica of the membership.

    promote marks a learner that becomes a voter as soon as it has caught up.
    """

    replica: str
    host: str
    address: str
    voter: bool
    promote: bool = False


class Membership(NamedTuple):
    """The membership that the entry of that index set; index 0 is none."""

    index: int
    all: tuple[Member, ...]


class Snapshot(NamedTuple):
    """The state after the entry of that index and term."""

    index: int
    term: int
    members: Membership
    data: bytes


class Mark(NamedTuple):
    """The furthest promise that a peer is known to have given.

    boot is the number of the start in which it gave it; index is what it has
    acknowledged to a leader of that term.
    """

    boot: int = 0
    term: int = 0
    index: int = 0


class HardState(NamedTuple):
    """The term, the vote in it, and the boot number of the newest start."""

    term: int = 0
    vote: str = ""
    boot: int = 0


class PersistentState(NamedTuple):
    """What a data folder holds at the start."""

    replica: str
    hard: HardState
    marks_by_replica: dict[str, Mark]
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]


class PreVote(NamedTuple):
    """Asks whether a vote for the sender in that term would be granted."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    boot: int = 0


class PreVoteReply(NamedTuple):
    """Answers PreVote; the asked term when granted, else the voter's."""

    term: int
    voter: str
    granted: bool
    boot: int = 0


class Vote(NamedTuple):
    """Asks for a vote in that term."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    boot: int = 0


class VoteReply(NamedTuple):
    """Answers Vote."""

    term: int
    voter: str
    granted: bool
    boot: int = 0


class TimeoutNow(NamedTuple):
    """Tells the voter that is to lead next to campaign at once."""

    term: int
    leader: str
    boot: int = 0


class Append(NamedTuple):
    """Entries that follow the one named by prev; without any, a heartbeat."""

    term: int
    leader: str
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int
    boot: int = 0


class AppendReply(NamedTuple):
    """Answers Append.

    match_index is synced when matched; hint_index is where to try next when
    not. counted is False while the follower may not be part of a quorum.
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
    """A part of the state's bytes from that offset."""

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
    """Tells how many bytes have come; done once the snapshot is synced."""

    term: int
    follower: str
    last_index: int
    offset: int
    round: int
    done: bool = False
    counted: bool = True
    boot: int = 0


class ReturnCheck(NamedTuple):
    """Asks what a peer remembers of the sender, at each of its starts.

    address lets a host answer that has lost its disk, and so knows no members.
    """

    term: int
    replica: str
    last_index: int
    members_index: int
    boot: int = 0
    address: str = ""


class ReturnCheckReply(NamedTuple):
    """Answers ReturnCheck with a VERDICT_ constant and the voter's state."""

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
    """A message and the id of the replica that it is for."""

    to: str
    message: Message


class Persist(NamedTuple):
    """Records that must be synced together, then reported by their number.

    With a snapshot, entries is the whole log behind it and replaces the old
    one; else truncate_from comes before entries.
    """

    number: int
    hard: HardState | None
    marks_by_replica: dict[str, Mark] | None
    truncate_from: int | None
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None


class ReadOutcome(NamedTuple):
    """A confirmed read index, or None when leadership was not confirmed."""

    token: int
    index: int | None


class Effects(NamedTuple):
    """What is to be done now, in this order.

    messages depend on nothing that is unsynced. restore replaces the state
    before committed entries are applied. retired tells why this identity must
    not be used any more; then nothing else counts.
    """

    persist: Persist | None
    messages: tuple[Outgoing, ...]
    restore: Snapshot | None
    committed: tuple[Entry, ...]
    reads: tuple[ReadOutcome, ...]
    retired: str


class LogPosition(NamedTuple):
    """Where a proposal stands in the log."""

    index: int
    term: int


class Tuning(NamedTuple):
    """Times in seconds, and the bounds of flow control.

    voters is how many voters the leader makes of the hosts that join, by itself;
    0 leaves that to commands. A voter that is silent for silent_voter is then
    replaced by a learner of another host, if one has caught up. first_election is the
    time between the campaigns of two voters that have met no leader since their start.
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
