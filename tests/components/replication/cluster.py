"""Cluster of pure replicas with simulated disks that keep only what was synced.

The effects of each replica are executed here and checked at once.
"""

import random
import zlib
from dataclasses import dataclass, field

from bitterntiller.components.replication import join_decisions, repair_decisions
from bitterntiller.components.replication.const import EntryKind
from bitterntiller.components.replication.core import Replica
from bitterntiller.components.replication.members import encode_members, find, voters
from bitterntiller.components.replication.models import (
    Entry,
    Member,
    Persist,
    PersistentState,
    Tuning,
)
from bitterntiller.components.replication.records import Replay
from bitterntiller.components.replication.state import Role, initial_persistent_state

from .checker import Checker, ViolationError
from .profiles import MIXED, Profile

INFINITE_GRACE = 1e9
TUNING = Tuning(trailing_entries=2)


@dataclass
class Node:
    host: str
    disk: PersistentState
    rate: float
    clock: float = 100.0
    replica: Replica | None = None
    write: Persist | None = None
    frozen: bool = False
    copies: list[PersistentState] = field(default_factory=list)
    applied: int = 0
    state_hash: int = 0
    checked: int = 0


class Cluster:
    """Replicas, their disks, the messages in flight, and the checker."""

    def __init__(self, seed: int, profile: Profile = MIXED) -> None:
        self.rng = random.Random(seed)
        self.profile, hosts, first = profile, profile.hosts, profile.initial_voters
        self.nodes = {h: self._new_node(h) for h in hosts}
        self.network: list[tuple[str, str, object]] = []
        self.cuts: set[tuple[str, str]] = set()
        self.fault_free = False
        self.reorder_probability = self.rng.choice((0.0, 0.2, 0.8))
        self.unrepaired_host = self.restored_replica = ""
        self.checker = Checker()
        self.committed_at_request: dict[int, int] = {}
        self.tokens = 0
        members = tuple(self.member(h, True) for h in hosts[:first])
        for host in hosts[:first]:
            node = self.nodes[host]
            replay = Replay(node.disk)
            entry = Entry(1, 1, EntryKind.MEMBERS, encode_members(members))
            hard = node.disk.hard._replace(term=1)
            replay.apply(Persist(0, hard, None, None, (entry,), None))
            node.disk = replay.restored()
        for host in hosts:
            self.start(self.nodes[host])

    def _new_node(self, host: str) -> Node:
        return Node(
            host, initial_persistent_state(f"{host}/1"), self.rng.uniform(0.9, 1.1)
        )

    def member(self, host: str, voter: bool) -> Member:
        return Member(self.nodes[host].disk.replica, host, host, voter)

    def start(self, node: Node, grace: float | None = None) -> None:
        grace = self.profile.grace if grace is None else grace
        pieces = self.rng.choice((7, 99))
        batch = self.profile.batch
        tuning = TUNING._replace(
            startup_check_grace=grace,
            piece_bytes=pieces,
            batch_entries=batch,
            first_election_spacing=self.profile.first_election_spacing,
        )
        seed = random.Random(self.rng.random())
        node.replica = Replica(node.disk, tuning, seed, node.clock)
        node.write, node.applied, node.state_hash, node.checked = None, 0, 0, 0
        self.apply_effects(node)

    def any_node(self) -> Node | None:
        up = [n for n in self.nodes.values() if n.replica and not n.frozen]
        return self.rng.choice(up) if up else None

    def leaders(self) -> list[Node]:
        up = [n for n in self.nodes.values() if n.replica and not n.frozen]
        return [n for n in up if n.replica.state.role is Role.LEADER]

    def finish_write(self, node: Node) -> None:
        replay = Replay(node.disk)
        replay.apply(node.write)
        node.copies.append(node.disk)
        node.disk = replay.restored()
        node.disk_number, node.write = node.write.number, None

    def new_identity(self, node: Node) -> None:
        host, _, number = node.disk.replica.partition("/")
        node.disk = initial_persistent_state(f"{host}/{int(number) + 1}")
        node.copies = []
        self.start(node)

    def join_and_repair(self, node: Node) -> None:
        state = node.replica.state
        if state.members.index > state.commit:
            return
        for other in self.nodes.values():
            if other.replica and join_decisions.is_empty(other.replica.state):
                join_decisions.on_empty_follower(state, other.disk.replica)
            if other.replica and not find(state.members, other.disk.replica):
                new = repair_decisions.with_learner(
                    state.members, other.disk.replica, *[other.host] * 2
                )
                node.replica.change_members(new, node.clock)
                break
        if step := repair_decisions.next_membership(state, [], node.clock):
            node.replica.change_members(step, node.clock)
        self.apply_effects(node)
        if self._all_up() and self._full_redundancy():
            self.unrepaired_host = self.restored_replica = ""

    def _all_up(self) -> bool:
        nodes = self.nodes.values()
        return all(n.replica and n.replica.state.startup_check.done for n in nodes)

    def _full_redundancy(self) -> bool:
        for node in self.leaders():
            state = node.replica.state
            count = len(voters(state.members))
            settled = count >= 3 and state.members.index <= state.commit
            if (
                settled
                and repair_decisions.failure_tolerance(state, node.clock)
                == (count - 1) // 2
            ):
                return True
        return False

    def all_healthy(self) -> bool:
        return not self.unrepaired_host and self._all_up() and self._full_redundancy()

    def apply_effects(self, node: Node) -> None:
        effects = node.replica.take_effects(node.clock)
        if effects.retired:
            self.new_identity(node)
            return
        if effects.persist:
            node.write = effects.persist
        for to, message in effects.messages:
            self.network.append((node.host, to, message))
        if effects.restore:
            if effects.restore.index < node.applied:
                raise ViolationError("the state went back to an older snapshot")
            node.applied, node.state_hash = (
                effects.restore.index,
                int(effects.restore.data),
            )
            self.checker.check_state_hash(node)
        for entry in effects.committed:
            if entry.index != node.applied + 1:
                raise ViolationError(f"{entry.index} applied after {node.applied}")
            node.applied = entry.index
            node.state_hash = zlib.crc32(repr(entry).encode(), node.state_hash)
            self.checker.check_state_hash(node)
        for outcome in effects.reads:
            committed_at_request = self.committed_at_request.pop(outcome.token)
            if outcome.index is not None and outcome.index < committed_at_request:
                raise ViolationError(
                    f"read {outcome.index} after {committed_at_request} committed"
                )
        self.checker.check(node)
