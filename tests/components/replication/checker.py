"""Safety properties that must hold after each step of a schedule."""

from typing import Any

from bitterntiller.components.replication.models import Entry
from bitterntiller.components.replication.state import Role, State


class ViolationError(AssertionError):
    """Raised when a safety property of the log is violated."""


class StuckError(ViolationError):
    """Raised when nothing is committed after all faults have ended (liveness)."""


class Checker:
    """Leaders, entries and commits observed on any replica so far."""

    def __init__(self) -> None:
        self.leader_by_term: dict[int, str] = {}
        self.entry_by_place: dict[tuple[int, int], tuple[Entry, int]] = {}
        self.committed: dict[int, Entry] = {}
        self.term_of_commit: dict[int, int] = {}
        self.state_hash_by_index: dict[int, int] = {0: 0}

    def last_committed(self) -> int:
        """Return the highest index known to be committed."""
        return max(self.committed, default=0)

    def check_state_hash(self, node: Any) -> None:
        known = self.state_hash_by_index.setdefault(node.applied, node.state_hash)
        if known != node.state_hash:
            raise ViolationError(f"two states after entry {node.applied}")

    def check(self, node: Any) -> None:
        state = node.replica.state
        log = state.log
        if state.role is Role.LEADER:
            leader = self.leader_by_term.setdefault(state.term, state.replica)
            if leader != state.replica:
                raise ViolationError(f"two leaders in term {state.term}")
            self._check_complete(state)
        for place, entry in enumerate(log.slice(log.base_index + 1, log.last_index)):
            if entry.index != log.base_index + 1 + place:
                raise ViolationError(f"entry {entry.index} is out of place")
            pair = (entry, log.term_at(entry.index - 1))
            if self.entry_by_place.setdefault(entry[:2], pair) != pair:
                raise ViolationError(f"logs differ before {entry[:2]}")
        if state.commit > log.last_index:
            raise ViolationError(f"{state.commit} is committed but missing")
        for entry in log.slice(node.checked + 1, state.commit):
            self.term_of_commit.setdefault(entry.index, state.term)
            if self.committed.setdefault(entry.index, entry) != entry:
                raise ViolationError(f"committed entry {entry.index} changed")
        node.checked = state.commit

    def _check_complete(self, state: State) -> None:
        for index in range(self.last_committed(), state.log.base_index, -1):
            if self.term_of_commit[index] >= state.term:
                continue
            if state.log.term_at(index) != self.committed[index].term:
                raise ViolationError(f"a leader lacks committed entry {index}")
