"""Random, seeded schedules of faults for pure replicas, checked at each step.

The disks keep only what was synced. A disk is lost, or replaced by an older copy,
only while all other disks are healthy and the last such fault has been repaired; no
protocol with three replicas tolerates more.
"""

from bitterntiller.components.replication import repair_decisions
from bitterntiller.components.replication.errors import SafetyError
from bitterntiller.components.replication.members import voters

from .checker import StuckError, ViolationError
from .cluster import INFINITE_GRACE, Cluster
from .profiles import FAULTS, MIXED, WEIGHTS, Profile


class Simulation(Cluster):
    """Cluster whose messages, timers, syncs and faults occur in random order."""

    def run(self, steps: int) -> None:
        # Each schedule has its own mix of faults, so that some occur often together.
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

    def deliver(self) -> None:
        for _ in range(min(self.rng.randint(1, 4), len(self.network))):
            self._deliver_one()

    def _deliver_one(self) -> None:
        late = not self.fault_free and self.rng.random() < self.reorder_probability
        place = self.rng.randrange(len(self.network) if late else 1)
        source, to, message = self.network[place]
        if self.fault_free or self.rng.random() > 0.1:
            del self.network[place]
        else:
            self.network.append(self.network[place])
        node = self.nodes[to.partition("/")[0]]
        lost = (source, node.host) in self.cuts
        lost = lost or (not self.fault_free and self.rng.random() < 0.04)
        if lost or node.replica is None or node.frozen or node.disk.replica != to:
            return
        node.replica.receive(message, node.clock)
        self.apply_effects(node)

    def pass_time(self) -> None:
        seconds = self.rng.choice((0.02, 0.05, 0.1))
        for node in self.nodes.values():
            node.clock += seconds * node.rate
            if node.replica and not node.frozen:
                node.replica.tick(node.clock)
                self.apply_effects(node)
        for node in self.leaders():
            self.join_and_repair(node)

    def sync(self) -> None:
        for node in self.nodes.values():
            if node.write and not node.frozen and self.rng.random() < 0.6:
                self.finish_write(node)
                node.replica.persisted(node.disk_number, node.clock)
                self.apply_effects(node)

    def propose(self) -> None:
        for node in self.leaders():
            node.replica.propose(b"%d" % self.rng.getrandbits(40))
            self.apply_effects(node)

    def read(self) -> None:
        for node in self.leaders():
            self.tokens += 1
            self.committed_at_request[self.tokens] = self.checker.last_committed()
            node.replica.request_read_index(self.tokens)
            self.apply_effects(node)

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
                grace = (
                    INFINITE_GRACE
                    if node.disk.replica == self.restored_replica
                    else None
                )
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

    def transfer_leadership(self) -> None:
        for node in self.leaders():
            node.replica.transfer_leadership(node.clock)
            self.apply_effects(node)

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
            node.replica.snapshot_taken(node.applied, b"%d" % node.state_hash)
            self.apply_effects(node)

    def lose_disk(self) -> None:
        node = self.any_node()
        if node is None or not self.all_healthy():
            return
        self.unrepaired_host = node.host
        self.new_identity(node)

    def restore_old_copy(self) -> None:
        node = self.any_node()
        if node is None or not node.copies or not self.all_healthy():
            return
        self.unrepaired_host, self.restored_replica = node.host, node.disk.replica
        node.disk = self.rng.choice(node.copies[-12:])
        self.start(node, INFINITE_GRACE)

    def resize(self) -> None:
        for node in self.leaders():
            state = node.replica.state
            spare = [
                m
                for m in state.members.all
                if not m.voter
                and repair_decisions.is_healthy(state, m.replica, node.clock)
            ]
            if spare and not self.unrepaired_host:
                changed = spare[0]._replace(voter=True)
            elif len(voters(state.members)) > 3 and not self.unrepaired_host:
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
            self.apply_effects(node)

    def settle(self) -> None:
        """End all faults; raise StuckError unless new entries are committed soon."""
        self.fault_free = True
        self.cuts.clear()
        self.thaw()
        self.restart()
        before = self.checker.last_committed()
        weights = {"deliver": 620, "pass_time": 100, "sync": 200, "propose": 10}
        for action in self.rng.choices(list(weights), list(weights.values()), k=30000):
            getattr(self, action)()
            if self.checker.last_committed() > before + 3 and not self.unrepaired_host:
                return
        raise StuckError("no entry is committed although all replicas are connected")


def explore(seed: int, profile: Profile = MIXED) -> Simulation:
    """Run one schedule; raise ViolationError if a safety property is violated."""
    simulation = Simulation(seed, profile)
    try:
        simulation.run(profile.steps)
        simulation.settle()
    except SafetyError as error:
        raise ViolationError(str(error)) from error
    return simulation
