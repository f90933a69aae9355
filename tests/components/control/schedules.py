"""Seeded random schedules of events for two control replicas and some nodes.

The real coordinators run on fakes of the log, the links and the clocks. A schedule
sends, delays, reorders and drops heartbeats, freezes and restarts processes, and lets a
deposed leader continue to act as leader. Invariants are checked after each step.
"""

import json
import random

import curio

from bitterntiller.components.control.coordinator import ControlCoordinator
from bitterntiller.components.control.state import ControlState
from bitterntiller.components.settings.models import Timings
from bitterntiller.core.clock import ManualClock
from bitterntiller.protocol import messages

from .builders import make_change, make_document, make_node, make_runtime, parse_any
from .schedule_fakes import DriftingClock, SharedLog, StepLog

HOSTS = ("bole-1", "kirkos-1", "yeka-1")
POOLS = ("llm", "map")
DRIFT = 0.008
LEASE = Timings().lease


class World:
    def __init__(self, seed):
        self.random = random.Random(seed)
        self.true_clock = ManualClock()
        self.shared = SharedLog()
        self.controls = []
        self.processes = []
        self.outgoing = []
        self.replies = []
        self.accepted = [{}]
        self.committed_at = [0.0]
        self.first_outcomes = {}
        self.sent_changes = {}
        self.versions = {}
        self.process_by_epoch = {}
        self.changes = 0

    def _clock(self):
        rate = 1 + self.random.uniform(-DRIFT, DRIFT)
        return DriftingClock(self.true_clock, rate, self.random.uniform(0, 1e6))

    async def async_start(self):
        for number in (1, 2):
            state = ControlState()
            log = StepLog(self.shared, state, f"10.0.0.{number}:7000")
            runtime = make_runtime(self._clock(), number=number)
            control = ControlCoordinator(runtime, log, state, parse_any)
            await control.async_start(tick=False)
            self.controls.append((control, log, runtime))
        self.controls[0][1].elect()
        for host in HOSTS:
            self.processes.append(make_node(self._clock(), host=host))

    async def async_stop(self):
        for _, _, runtime in self.controls:
            await runtime.stack.aclose()

    async def async_settle(self):
        for _ in range(8):
            await curio.sleep(0)

    # Steps; each chooses its processes and messages at random.

    async def async_round(self):
        """Run a round without faults: heartbeats arrive and pools are assigned."""
        leading = [item for item in self.controls if item[1].is_actual_leader]
        for process in self.processes[-len(HOSTS) :]:
            await self._async_beat(process, leading[0])
        await leading[0][0].async_place()

    async def async_beat(self):
        process = self.random.choice(self.processes)
        await self._async_beat(process, self.random.choice(self.controls))

    async def _async_beat(self, process, control):
        """Send a heartbeat whose reply arrives in order."""
        self._send(process, control)
        await self._async_arrive(self.outgoing.pop())
        self.true_clock.advance(self.random.choice((0.0, 0.02)))
        await self.async_resolve_all()
        if self.replies:
            self._deliver(self.replies.pop())

    async def async_send(self):
        self._send(
            self.random.choice(self.processes), self.random.choice(self.controls)
        )

    def _send(self, process, control):
        item = (process, process.make_heartbeat(), process._clock.now(), control[0])
        self.outgoing.append(item)

    async def async_arrive(self):
        if self.outgoing:
            position = self.random.randrange(len(self.outgoing))
            await self._async_arrive(self.outgoing.pop(position))

    async def _async_arrive(self, item):
        process, heartbeat, sent_at, control = item

        async def answer():
            reply = await control.async_heartbeat(heartbeat.host, heartbeat)
            if reply.status == "granted":
                self.replies.append((process, reply, sent_at))

        await curio.spawn(answer, daemon=True)
        await self.async_settle()

    async def async_resolve(self):
        _, log, _ = self.random.choice(self.controls)
        if log.confirming:
            await log.async_resolve()
            await self.async_settle()

    async def async_acknowledge(self):
        for _, log, _ in self.controls:
            log.acknowledge()

    async def async_resolve_all(self):
        for _, log, _ in self.controls:
            while log.confirming:
                log.acknowledge()
                await log.async_resolve()
                await self.async_settle()

    async def async_deliver(self):
        if self.replies:
            position = self.random.randrange(len(self.replies))
            self._deliver(self.replies.pop(position))

    def _deliver(self, item):
        process, reply, sent_at = item
        process.apply_reply(reply, sent_at)

    async def async_drop(self):
        if self.replies:
            self.replies.pop(self.random.randrange(len(self.replies)))

    async def async_change(self):
        control, log, _ = self.random.choice(self.controls)
        base = control.state.configuration.version - self.random.choice((0, 0, 1))
        self.changes += 1
        document = make_document(*POOLS, number=self.changes)
        change = make_change(f"change-{self.changes}", base, document)
        self.sent_changes[change.change_id] = change
        log.lose_replies = self.random.random() < 0.2
        await self._async_submit(control, change)
        log.lose_replies = False

    async def async_resend(self):
        if self.sent_changes:
            change = self.sent_changes[self.random.choice(list(self.sent_changes))]
            await self._async_submit(self.random.choice(self.controls)[0], change)

    async def _async_submit(self, control, change):
        reply = await control.async_change("operator", change)
        newest = self.shared.leader.state.configuration
        while len(self.accepted) <= newest.version:
            self.accepted.append(newest.document)
            self.committed_at.append(self.true_clock.now())
        if reply.status in ("accepted", "conflict"):
            outcome = (reply.status, reply.version)
            first = self.first_outcomes.setdefault(change.change_id, outcome)
            assert first == outcome, "one outcome per change id"
        if reply.status == "accepted":
            document = json.loads(change.config)
            assert reply.version == change.base_version + 1, (
                "one accepted change per version"
            )
            assert self.accepted[reply.version] == document, "accepted changes persist"

    async def async_elect(self):
        _, log, _ = self.random.choice(self.controls)
        if not log.is_actual_leader:
            log.elect()

    async def async_notice(self):
        for _, log, _ in self.controls:
            if not log.is_actual_leader:
                log.believes_leading = False
                log.catch_up()

    async def async_place(self):
        for control, _, _ in self.controls:
            await control.async_place()

    async def async_release(self):
        process = self.random.choice(self.processes[-len(HOSTS) :])
        process.directory.release(list(POOLS))
        release = messages.ReleasePools(
            host=process.make_heartbeat().host,
            incarnation=process.make_heartbeat().incarnation,
            pools=list(POOLS),
        )
        control = self.random.choice(self.controls)[0]
        await control.async_release_pools("node", release)

    async def async_restart(self):
        position = self.random.randrange(len(HOSTS))
        old = self.processes.pop(-len(HOSTS) + position)
        self.processes.insert(0, old)
        host = old.make_heartbeat().host
        self.processes.append(make_node(self._clock(), host=host))

    async def async_wait_lease(self):
        """Wait until all leases granted before the latest change have just ended."""
        ends = self.committed_at[-1] + LEASE
        self.true_clock.advance(max(ends - self.true_clock.now(), 0.0))

    async def async_wait(self):
        self.true_clock.advance(self.random.choice((0.05, 0.3, 1.0, 2.5, 5.0)))

    async def async_run(self, steps):
        weighted = {
            self.async_round: 6,
            self.async_beat: 6,
            self.async_send: 4,
            self.async_arrive: 4,
            self.async_acknowledge: 2,
            self.async_resolve: 3,
            self.async_deliver: 4,
            self.async_drop: 1,
            self.async_change: 4,
            self.async_resend: 1,
            self.async_elect: 2,
            self.async_notice: 1,
            self.async_place: 3,
            self.async_release: 1,
            self.async_restart: 2,
            self.async_wait_lease: 2,
            self.async_wait: 5,
        }
        plan = self.random.choices(list(weighted), weighted.values(), k=steps)
        await self.async_start()
        try:
            for step in plan:
                await step()
                self.check()
        finally:
            await self.async_stop()

    def check(self):
        for process in self.processes:
            self._check_versions(process)
        for pool in POOLS:
            self._check_owner(pool)
        for control, _, _ in self.controls:
            configuration = control.state.configuration
            assert configuration.document == self.accepted[configuration.version]

    def _check_versions(self, process):
        version = process.config.version
        assert version >= self.versions.get(id(process), 0), "never a lower version"
        self.versions[id(process)] = version
        assert process.config._document == self.accepted[version], "the same everywhere"
        if not process.lease.valid() or version + 1 >= len(self.accepted):
            return
        ends = self.committed_at[version + 1] + LEASE
        assert self.true_clock.now() < ends, "in force within a lease"

    def _check_owner(self, pool):
        acting = []
        for process in self.processes:
            owner = process.directory.owner(pool)
            heartbeat = process.make_heartbeat()
            if not owner or owner.host != heartbeat.host or not process.lease.valid():
                continue
            acting.append(process)
            holder = self.process_by_epoch.setdefault((pool, owner.epoch), process)
            assert holder is process, "an epoch belongs to one process"
        assert len(acting) <= 1, "one owner acts at a time"


def run_schedule(seed, steps=120):
    """Run one schedule; raise AssertionError for a violated invariant."""
    curio.run(World(seed).async_run, steps)
