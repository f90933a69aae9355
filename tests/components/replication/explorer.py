"""Drives pure replicas through seeded schedules and checks them at each step.

The disks keep only what was synced. An old copy of a disk is put back, or a
disk lost, only while all other disks are sound and the last such fault has
been repaired: more than that no protocol of three replicas survives.
"""

import random
import zlib
from dataclasses import dataclass, field

from bitterntiller.components.replication import joining, repair
from bitterntiller.components.replication.const import EntryKind
from bitterntiller.components.replication.core import Replica
from bitterntiller.components.replication.errors import SafetyError
from bitterntiller.components.replication.members import encode_members, find, voters
from bitterntiller.components.replication.models import (
    Entry,
    Member,
    Persist,
    Restored,
    Tuning,
)
from bitterntiller.components.replication.records import Replay
from bitterntiller.components.replication.state import Role, initial

from .checker import Checker, StuckError, ViolationError
from .profiles import FAULTS, MIXED, WEIGHTS, Profile

WAITS_FOR_ALL = 1e9
TUNING = Tuning(trailing=2)


@dataclass
class Node:
    host: str
    disk: Restored
    rate: float
    clock: float = 100.0
    replica: Replica | None = None
    write: Persist | None = None
    frozen: bool = False
    copies: list[Restored] = field(default_factory=list)
    applied: int = 0
    chain: int = 0
    checked: int = 0


class World:
    def __init__(self, seed: int, profile: Profile = MIXED) -> None:
        self.rng = random.Random(seed)
        self.profile, hosts, first = profile, profile.hosts, profile.first
        self.nodes = {h: self._new_node(h) for h in hosts}
        self.network: list[tuple[str, str, object]] = []
        self.cuts: set[tuple[str, str]] = set()
        self.calm = False
        self.lateness = self.rng.choice((0.0, 0.2, 0.8))
        self.fragile = self.copied = ""
        self.checker = Checker()
        self.asked: dict[int, int] = {}
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
        return Node(host, initial(f"{host}/1"), self.rng.uniform(0.9, 1.1))

    def member(self, host: str, voter: bool) -> Member:
        return Member(self.nodes[host].disk.replica, host, host, voter)

    def start(self, node: Node, grace: float | None = None) -> None:
        grace = self.profile.grace if grace is None else grace
        pieces = self.rng.choice((7, 99))
        batch = self.profile.batch
        tuning = TUNING._replace(
            return_grace=grace, piece_bytes=pieces, batch_entries=batch
        )
        seed = random.Random(self.rng.random())
        node.replica = Replica(node.disk, tuning, seed, node.clock)
        node.write, node.applied, node.chain, node.checked = None, 0, 0, 0
        self.after(node)

    def run(self, steps: int) -> None:
        # Each schedule has its own mixture of faults; some come often together.
        weights = []
        for action, usual in WEIGHTS.items():
            weight = self.profile.weights.get(action, usual)
            if action in FAULTS:
                weight *= self.rng.choice((0, 1, 1, 4))
                weight *= action in self.profile.faults
            weights.append(weight)
        more = [action for action in self.profile.weights if action not in WEIGHTS]
        weights += [self.profile.weights[action] for action in more]
        for action in self.rng.choices([*WEIGHTS, *more], weights, k=steps):
            getattr(self, action)()

    def any_node(self) -> Node | None:
        up = [n for n in self.nodes.values() if n.replica and not n.frozen]
        return self.rng.choice(up) if up else None

    def leaders(self) -> list[Node]:
        up = [n for n in self.nodes.values() if n.replica and not n.frozen]
        return [n for n in up if n.replica.state.role is Role.LEADER]

    # What may happen in a step.

    def deliver(self) -> None:
        for _ in range(min(self.rng.randint(1, 4), len(self.network))):
            self._deliver_one()

    def _deliver_one(self) -> None:
        late = not self.calm and self.rng.random() < self.lateness
        place = self.rng.randrange(len(self.network) if late else 1)
        source, to, message = self.network[place]
        if self.calm or self.rng.random() > 0.1:
            del self.network[place]
        else:
            self.network.append(self.network[place])
        node = self.nodes[to.partition("/")[0]]
        lost = (source, node.host) in self.cuts
        lost = lost or (not self.calm and self.rng.random() < 0.04)
        if lost or node.replica is None or node.frozen or node.disk.replica != to:
            return
        node.replica.receive(message, node.clock)
        self.after(node)

    def pass_time(self) -> None:
        seconds = self.rng.choice((0.02, 0.05, 0.1))
        for node in self.nodes.values():
            node.clock += seconds * node.rate
            if node.replica and not node.frozen:
                node.replica.tick(node.clock)
                self.after(node)
        for node in self.leaders():
            self._join_and_repair(node)

    def sync(self) -> None:
        for node in self.nodes.values():
            if node.write and not node.frozen and self.rng.random() < 0.6:
                self.finish_write(node)
                node.replica.persisted(node.disk_number, node.clock)
                self.after(node)

    def propose(self) -> None:
        for node in self.leaders():
            node.replica.propose(b"%d" % self.rng.getrandbits(40))
            self.after(node)

    def read(self) -> None:
        for node in self.leaders():
            self.tokens += 1
            self.asked[self.tokens] = self.checker.last_committed()
            node.replica.ask_read(self.tokens)
            self.after(node)

    def crash(self) -> None:
        node = self.any_node()
        if node is None:
            return
        if node.write and self.rng.random() < 0.4:
            self.finish_write(node)
        node.replica, node.write = None, None

    def restart(self) -> None:
        for node in self.nodes.values():
            if node.replica is None:
                grace = WAITS_FOR_ALL if node.disk.replica == self.copied else None
                self.start(node, grace)

    def depose(self) -> None:
        for node in self.leaders():
            others = sorted(set(self.nodes) - {node.host})
            reached = self.rng.sample(others, self.rng.randint(0, 2))
            how = self.rng.choice(("cut", "crash", "freeze"))
            node.frozen = how == "freeze"
            if how == "crash":
                node.replica, node.write = None, None
            if how == "cut":
                lost = [h for h in others if h not in reached]
                self.cuts |= {p for h in lost for p in ((node.host, h), (h, node.host))}
                self.cuts |= {(h, node.host) for h in reached}

    def hand_over(self) -> None:
        for node in self.leaders():
            node.replica.hand_over(node.clock)
            self.after(node)

    def cut(self) -> None:
        a, b = self.rng.sample(sorted(self.nodes), 2)
        pairs = [(a, b)] if self.rng.random() < 0.4 else [(a, b), (b, a)]
        if self.rng.random() < 0.4:
            pairs += [p for h in self.nodes for p in ((a, h), (h, a))]
        self.cuts |= set(pairs)

    def heal(self) -> None:
        self.cuts.clear()

    def freeze(self) -> None:
        if node := self.any_node():
            node.frozen = True

    def thaw(self) -> None:
        for node in self.nodes.values():
            node.frozen = False

    def snapshot(self) -> None:
        node = self.any_node()
        if node and node.applied:
            node.replica.snapshot_taken(node.applied, b"%d" % node.chain)
            self.after(node)

    def lose_disk(self) -> None:
        node = self.any_node()
        if node is None or not self._all_sound():
            return
        self.fragile = node.host
        self.new_identity(node)

    def old_copy(self) -> None:
        node = self.any_node()
        if node is None or not node.copies or not self._all_sound():
            return
        self.fragile, self.copied = node.host, node.disk.replica
        node.disk = self.rng.choice(node.copies[-12:])
        self.start(node, WAITS_FOR_ALL)

    def resize(self) -> None:
        for node in self.leaders():
            state = node.replica.state
            spare = [
                m
                for m in state.members.all
                if not m.voter and repair.is_sound(state, m.replica, node.clock)
            ]
            if spare and not self.fragile:
                changed = spare[0]._replace(voter=True)
            elif len(voters(state.members)) > 3 and not self.fragile:
                changed = self.rng.choice(state.members.all)._replace(voter=False)
            else:
                continue
            node.replica.change_members(
                [
                    changed if m.replica == changed.replica else m
                    for m in state.members.all
                ],
                node.clock,
            )
            self.after(node)

    # Effects.

    def finish_write(self, node: Node) -> None:
        replay = Replay(node.disk)
        replay.apply(node.write)
        node.copies.append(node.disk)
        node.disk = replay.restored()
        node.disk_number, node.write = node.write.number, None

    def new_identity(self, node: Node) -> None:
        host, _, number = node.disk.replica.partition("/")
        node.disk = initial(f"{host}/{int(number) + 1}")
        node.copies = []
        self.start(node)

    def _join_and_repair(self, node: Node) -> None:
        state = node.replica.state
        if state.members.index > state.commit:
            return
        for other in self.nodes.values():
            if other.replica and joining.is_empty(other.replica.state):
                joining.hear_empty(state, other.disk.replica)
            if other.replica and not find(state.members, other.disk.replica):
                new = repair.joined(
                    state.members, other.disk.replica, *[other.host] * 2
                )
                node.replica.change_members(new, node.clock)
                break
        if step := repair.next_step(state, [], node.clock):
            node.replica.change_members(step, node.clock)
        self.after(node)
        if self._all_up() and self._full_redundancy():
            self.fragile = self.copied = ""

    def _all_up(self) -> bool:
        nodes = self.nodes.values()
        return all(n.replica and n.replica.state.returning.done for n in nodes)

    def _full_redundancy(self) -> bool:
        for node in self.leaders():
            state = node.replica.state
            count = len(voters(state.members))
            settled = count >= 3 and state.members.index <= state.commit
            if settled and repair.survives(state, node.clock) == (count - 1) // 2:
                return True
        return False

    def _all_sound(self) -> bool:
        return not self.fragile and self._all_up() and self._full_redundancy()

    def after(self, node: Node) -> None:
        effects = node.replica.take(node.clock)
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
            node.applied, node.chain = effects.restore.index, int(effects.restore.data)
            self.checker.chain(node)
        for entry in effects.committed:
            if entry.index != node.applied + 1:
                raise ViolationError(f"{entry.index} applied after {node.applied}")
            node.applied = entry.index
            node.chain = zlib.crc32(repr(entry).encode(), node.chain)
            self.checker.chain(node)
        for outcome in effects.reads:
            asked = self.asked.pop(outcome.token)
            if outcome.index is not None and outcome.index < asked:
                raise ViolationError(f"read {outcome.index} after {asked} committed")
        self.checker.check(node)

    def settle(self) -> None:
        """End all faults; raise unless a new entry is committed soon."""
        self.calm = True
        self.cuts.clear()
        self.thaw()
        self.restart()
        before = self.checker.last_committed()
        calm = {"deliver": 620, "pass_time": 100, "sync": 200, "propose": 10}
        for action in self.rng.choices(list(calm), list(calm.values()), k=30000):
            getattr(self, action)()
            if self.checker.last_committed() > before + 3 and not self.fragile:
                return
        raise StuckError("no entry is committed although all are connected")


def explore(seed: int, profile: Profile = MIXED) -> World:
    """Run one schedule; raise ViolationError for a broken promise."""
    world = World(seed, profile)
    try:
        world.run(profile.steps)
        world.settle()
    except SafetyError as error:
        raise ViolationError(str(error)) from error
    return world
