"""Random losses that five control hosts bear, played with pure replicas.

In each round two hosts may be lost: they stay down, lose their disks, or leave for good
and are replaced by others. Meanwhile hosts end and start again, one or all of them.
"""

import random
from collections.abc import Callable

from bitterntiller.components.replication.repair_decisions import failure_tolerance
from bitterntiller.components.replication.state import Role

from . import cluster
from .cluster import Node
from .explorer import Simulation
from .profiles import Profile
from .script import drain

HOSTS = "abcde"
BORNE = 2
STEP = 0.03
GRACE = 2.0
RECOVERY = 12.0
"""Seconds after which commands are committed again, once the other hosts are up."""

CATCH_UP = 4.0
"""Seconds for which a host counts as lost after it is back."""

ROUNDS = 4
TUNING = cluster.TUNING._replace(
    target_voters=len(HOSTS),
    leaderless_timeout=3.0,
    election_min=0.45,
    election_max=0.9,
    heartbeat=0.12,
)
"""The timings of the platform."""


class BorneLosses:
    """Five voters, and the hosts that replace them."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        profile = Profile(hosts=HOSTS, initial_voters=5, grace=GRACE, batch=64)
        self._simulation = Simulation(seed, profile)
        self._simulation.fault_free = True
        self._simulation.reorder_probability = 0.0
        self._nodes = self._simulation.nodes
        self._members = list(HOSTS)
        self._names = iter("fghijklmnopqrstuvwxyz")
        self._lossy: list[str] = []
        self._lost: list[str] = []
        for node in self._nodes.values():
            node.rate = 1.0

    def play(self) -> str:
        """Return what did not hold, empty if all did."""
        self._pass(RECOVERY, self._is_whole)
        for number in range(ROUNDS):
            steps = self._disturb()
            steps.append(f"down {sorted(self._down())}")
            if not self._pass(RECOVERY, self._commits_anew()):
                return f"round {number}: no command is committed, {steps}"
            for host in self._down():
                self._start(host)
            self._pass(CATCH_UP)
            if not self._pass(RECOVERY, self._is_whole):
                return f"round {number}: {BORNE} losses are not borne again, {steps}"
        return ""

    def _disturb(self) -> list[str]:
        rng, steps = self._rng, []
        self._lossy = rng.sample(self._members, BORNE)
        actions = [self._crash, self._crash_all, self._start_one, self._lose_one]
        for _ in range(rng.randint(2, 8)):
            steps.append(rng.choice(actions)())
            self._pass(rng.choice((0.0, 0.1, 0.5, 1.5, 4.0)))
        down = [host for host in self._lost if rng.random() < 0.5]
        for host in down:
            self._stop(host)
        for host in sorted(self._down() - set(down)):
            self._start(host)
            self._pass(rng.choice((0.0, 0.2, 0.9, 1.7)))
        self._lost.clear()
        return steps

    def _crash(self) -> str:
        """Let a host end and start again before it counts as silent."""
        host = self._rng.choice(self._members)
        self._stop(host)
        self._pass(self._rng.choice((0.0, 0.3, 0.9)))
        self._start(host)
        return f"crash {host}"

    def _crash_all(self) -> str:
        for host in self._members:
            self._stop(host)
        down = sorted(self._down())
        self._rng.shuffle(down)
        for host in down:
            self._start(host)
            self._pass(self._rng.choice((0.0, 0.2, 0.9, 1.7)))
        return "crash all"

    def _start_one(self) -> str:
        down = sorted(self._down())
        if down:
            self._start(self._rng.choice(down))
        return "start"

    def _lose_one(self) -> str:
        """Lose a host once: it is down, has an empty disk or is replaced for good."""
        if not self._lossy:
            return "nothing"
        host = self._lossy.pop()
        how = self._rng.choice((self._stop_for_long, self._lose_disk, self._replace))
        return how(host)

    def _stop_for_long(self, host: str) -> str:
        self._stop(host)
        self._lost.append(host)
        return f"stop {host}"

    def _lose_disk(self, host: str) -> str:
        self._stop(host)
        self._pass(self._rng.choice((0.0, 0.5, 3.0)))
        self._simulation.new_identity(self._nodes[host])
        self._lost.append(host)
        return f"lose the disk of {host}"

    def _replace(self, gone: str) -> str:
        self._stop(gone)
        self._pass(self._rng.choice((0.0, 0.5, 3.0)))
        new = next(self._names)
        self._members[self._members.index(gone)] = new
        self._nodes[new] = self._simulation._new_node(new)
        self._nodes[new].rate = 1.0
        self._nodes[new].clock = self._nodes[gone].clock
        self._start(new)
        self._lost.append(new)
        return f"replace {gone} by {new}"

    def _stop(self, host: str) -> None:
        self._nodes[host].replica, self._nodes[host].write = None, None

    def _start(self, host: str) -> None:
        self._simulation.start(self._nodes[host])

    def _down(self) -> set[str]:
        return {host for host in self._members if self._nodes[host].replica is None}

    def _leaders(self) -> list[Node]:
        up = [self._nodes[host] for host in self._members]
        return [
            node
            for node in up
            if node.replica and node.replica.state.role is Role.LEADER
        ]

    def _commits_anew(self) -> Callable[[], bool]:
        before = self._simulation.checker.last_committed()

        def commits() -> bool:
            for node in self._leaders():
                node.replica.propose(b"x")
                self._simulation.apply_effects(node)
            return self._simulation.checker.last_committed() > before

        return commits

    def _is_whole(self) -> bool:
        return any(
            failure_tolerance(node.replica.state, node.clock) == BORNE
            for node in self._leaders()
        )

    def _pass(self, seconds: float, until: Callable[[], bool] = lambda: False) -> bool:
        """Let the hosts that are up run; return whether the condition came to hold."""
        for _ in range(round(seconds / STEP) + 1):
            up = [host for host in self._members if self._nodes[host].replica]
            drain(self._simulation, up)
            if until():
                return True
            for host in self._members:
                node = self._nodes[host]
                node.clock += STEP
                if node.replica:
                    node.replica.tick(node.clock)
                    self._simulation.apply_effects(node)
            for node in self._leaders():
                self._join_and_repair(node)
        return False

    def _join_and_repair(self, node: Node) -> None:
        self._simulation.join_and_repair(node)
