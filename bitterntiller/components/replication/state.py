"""State of a replica, and the order of its writes and messages."""

import random
from enum import StrEnum

from .const import NO_VOTE, EntryKind
from .identity import StartupCheck, next_boot
from .log import Log
from .members import EMPTY_MEMBERSHIP, decode_members, voters
from .models import (
    Effects,
    Entry,
    HardState,
    Mark,
    Membership,
    Message,
    Outgoing,
    Persist,
    PersistentState,
    ReadOutcome,
    Snapshot,
    Tuning,
)
from .progress import Progress
from .read_index import PendingReads

MAX_APPLY_BATCH = 2048


class Role(StrEnum):
    """Role of a replica in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class State:
    """State of a replica.

    Only this class orders messages after writes: a message passed to
    send_after_sync() leaves only after every record made before it has been reported
    as persisted. A crash therefore loses no vote or acknowledgement that a peer has
    received.
    """

    def __init__(
        self, restored: PersistentState, tuning: Tuning, rng: random.Random, now: float
    ) -> None:
        self.replica = restored.replica
        self.tuning = tuning
        self.rng = rng
        boot = next_boot(restored.hard.boot, rng)
        self.hard = restored.hard._replace(boot=boot)
        self.marks_by_replica = dict(restored.marks_by_replica)
        self.snapshot = restored.snapshot
        self.log = Log(restored.snapshot, restored.entries)
        self.role = Role.FOLLOWER
        self.leader = ""
        self.last_leader_contact = now
        self.has_met_leader = False
        self.election_deadline = now
        self.next_broadcast = now
        self.votes: set[str] = set()
        self.caught_up_index = 0
        self.commit_at_heartbeat = 0
        self.progress_by_replica: dict[str, Progress] = {}
        self.pending_reads = PendingReads()
        self.startup_check = StartupCheck(now)
        self.repeated_check: StartupCheck | None = None
        self.retired = ""
        self.stalled = False
        self.incoming_snapshot: tuple[int, int, bytearray] | None = None
        self.read_outcomes: list[ReadOutcome] = []
        self.counters: dict[str, int] = {}
        self.commit = restored.snapshot.index if restored.snapshot else 0
        self.delivered = self.commit
        self.stable = self.log.last_index
        self.members = self.members_at(self.log.last_index)
        self._last_written = self.log.last_index
        self._truncate_from: int | None = None
        self._hard_dirty = True
        self._marks_dirty = False
        self._marks_due = False
        self._snapshot_dirty = False
        self._restore = restored.snapshot
        self._pending: Persist | None = None
        self._pending_last = 0
        self._number = 0
        self._ready: list[Outgoing] = []
        self._held: list[Outgoing] = []
        self._awaiting: list[Outgoing] = []
        self.reset_election_timer(now)

    @property
    def term(self) -> int:
        """Current term."""
        return self.hard.term

    def count(self, name: str) -> None:
        """Increment a counter of the state dump."""
        self.counters[name] = self.counters.get(name, 0) + 1

    def reset_election_timer(self, now: float) -> None:
        """Restart the election timeout with a random duration."""
        tuning = self.tuning
        self.election_deadline = now + self.rng.uniform(
            tuning.election_min, tuning.election_max
        )

    def start_first_election_timer(self, now: float) -> None:
        """Schedule the first election soon if no leader has been met since the start.

        Voters that have all restarted know that none of them leads; waiting for a
        leader would add an election timeout to the time in which control is down.
        Their campaigns are staggered by their order among the voters, so that two
        rarely coincide. An existing leader is not deposed: voters in contact with it
        refuse the pre-vote.
        """
        if self.has_met_leader:
            self.reset_election_timer(now)
            return
        order = sorted(voters(self.members))
        rank = order.index(self.replica) if self.replica in order else len(order)
        pause = self.tuning.first_election_spacing * (rank + self.rng.random() / 2)
        self.election_deadline = now + pause

    def start_retry_timer(self, now: float) -> None:
        """Schedule the next attempt to be elected.

        The delay is short until a leader has been met: shortly after a start the
        others may not have completed their startup checks, and refuse pre-votes.
        """
        if self.has_met_leader:
            self.reset_election_timer(now)
            return
        count = max(1, len(voters(self.members)))
        pause = self.tuning.first_election_spacing * count
        self.election_deadline = now + self.rng.uniform(pause, 2 * pause)

    def is_voter(self) -> bool:
        """Return whether this replica is a voter in its newest membership."""
        return self.replica in voters(self.members)

    def pending_check(self) -> StartupCheck:
        """Return the repeated startup check if there is one, else the first one."""
        return self.repeated_check or self.startup_check

    def set_term(self, term: int, vote: str = NO_VOTE) -> None:
        """Set the term and the vote in it; both are synced with the next write."""
        self.hard = self.hard._replace(term=term, vote=vote)
        self._hard_dirty = True

    def become_follower(self, term: int, leader: str, now: float) -> None:
        """Become a follower, entering the term if it is higher."""
        if term > self.term:
            self.set_term(term)
        if self.role is Role.LEADER:
            self.read_outcomes += self.pending_reads.fail()
            self.progress_by_replica.clear()
            self.last_leader_contact = now
            self.reset_election_timer(now)
            self.count("stepped_down")
        self.role = Role.FOLLOWER
        self.leader = leader

    @property
    def pending_write(self) -> Persist | None:
        """The write that is under way, None without one."""
        return self._pending

    def record_mark(self, replica: str, mark: Mark, due: bool = False) -> None:
        """Record what a peer has acknowledged.

        It is synced with the next write; if due, it causes one.
        """
        self.marks_by_replica[replica] = mark
        self._marks_dirty = True
        self._marks_due = self._marks_due or due

    def append(self, entry: Entry) -> None:
        """Append an entry to the log; a membership takes effect at once."""
        self.log.append(entry)
        if entry.kind == EntryKind.MEMBERS:
            self.members = decode_members(entry.index, entry.data)

    def truncate_from(self, index: int) -> None:
        """Remove entries that conflict with another leader's log."""
        self.log.truncate_from(index)
        self.stable = min(self.stable, index - 1)
        self._pending_last = min(self._pending_last, index - 1)
        if index <= self._last_written:
            self._last_written = index - 1
            self._truncate_from = min(index, self._truncate_from or index)
        if self.members.index >= index:
            self.members = self.members_at(index - 1)

    def members_at(self, index: int) -> Membership:
        """Return the membership in effect after the entry at that index."""
        for entry in reversed(self.log.slice(self.log.base_index + 1, index)):
            if entry.kind == EntryKind.MEMBERS:
                return decode_members(entry.index, entry.data)
        return self.snapshot.members if self.snapshot else EMPTY_MEMBERSHIP

    def install(self, snapshot: Snapshot) -> None:
        """Replace the state, and the log up to it, with a leader's snapshot."""
        self.log.reset(snapshot)
        self.snapshot = snapshot
        self.commit = snapshot.index
        self.delivered = snapshot.index
        self.members = self.members_at(self.log.last_index)
        self._restore = snapshot
        self._snapshot_dirty = True
        self.stable = min(self.stable, self.log.last_index)
        self._pending_last = min(self._pending_last, self.log.last_index)
        self.count("snapshots_installed")

    def snapshot_taken(self, index: int, data: bytes) -> None:
        """Store a snapshot of the state after an applied entry and compact the log."""
        term = self.log.term_at(index)
        if term is None or (self.snapshot and index <= self.snapshot.index):
            return
        self.snapshot = Snapshot(index, term, self.members_at(index), data)
        self._snapshot_dirty = True
        # A single change can have a megabyte, so that the entries alone don't bound the
        # memory of those kept for followers that lag.
        by_size = self.log.index_before(index, self.tuning.budget.trailing)
        self.log.compact(max(index - self.tuning.trailing_entries, by_size))
        self.count("snapshots_taken")

    def send_after_sync(self, to: str, message: Message) -> None:
        """Send a message once all records made so far are synced."""
        self._held.append(Outgoing(to, message))

    def send(self, to: str, message: Message) -> None:
        """Send a leader's entries without waiting for its own log to be synced.

        Its term must be synced: a leader that forgot its term could send different
        entries in the same term.
        """
        unsynced = self._hard_dirty or (self._pending and self._pending.hard)
        (self._held if unsynced else self._ready).append(Outgoing(to, message))

    def take_effects(self) -> Effects:
        """Return the effects that are due; at most one write is in progress."""
        persist = None if self._pending else self._next_persist()
        if persist:
            self._awaiting, self._held = self._held, []
        elif not self._pending:
            self._ready += self._held
            self._held = []
        messages, self._ready = tuple(self._ready), []
        reads, self.read_outcomes = tuple(self.read_outcomes), []
        restore, self._restore = self._restore, None
        committed = self._next_committed()
        return Effects(persist, messages, restore, committed, reads, self.retired)

    def _next_committed(self) -> tuple[Entry, ...]:
        # Apply only entries that are synced here too, so that a snapshot of the
        # state is never ahead of this replica's own log.
        stop = min(self.commit, self.stable, self.delivered + MAX_APPLY_BATCH)
        committed = self.log.slice(self.delivered + 1, stop)
        self.delivered = max(self.delivered, stop)
        return committed

    def _next_persist(self) -> Persist | None:
        entries = self.log.slice(self._last_written + 1, self.log.last_index)
        due = self._hard_dirty or self._marks_due or self._snapshot_dirty
        if not (due or entries or self._truncate_from):
            return None
        snapshot = self.snapshot if self._snapshot_dirty else None
        if snapshot:
            entries = self.log.slice(snapshot.index + 1, self.log.last_index)
        self._number += 1
        self._pending = Persist(
            self._number,
            self.hard if self._hard_dirty or snapshot else None,
            dict(self.marks_by_replica) if self._marks_dirty or snapshot else None,
            None if snapshot else self._truncate_from,
            entries,
            snapshot,
        )
        self._pending_last = self._last_written = self.log.last_index
        self._truncate_from = None
        self._hard_dirty = self._marks_dirty = self._marks_due = False
        self._snapshot_dirty = False
        return self._pending

    def persisted(self, number: int) -> None:
        """Mark a write as synced and release the messages that waited for it."""
        if self._pending is None or self._pending.number != number:
            return
        self._pending = None
        self.stable = max(self.stable, self._pending_last)
        self._ready += self._awaiting
        self._awaiting = []


def initial_persistent_state(replica: str) -> PersistentState:
    """Return the state of a new data folder."""
    return PersistentState(replica, HardState(), {}, None, ())
