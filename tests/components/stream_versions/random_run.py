"""A randomized run of hosts that are lost while streams begin and are taken up.

`python -m tests.components.stream_versions.random_run SEED STREAMS` prints the counts.
"""

import random
import sys
from collections import Counter
from typing import NamedTuple

import curio

from bitterntiller.core.interfaces import StreamOrigin
from tests.components.stream_versions.builders import (
    CONTROL_HOSTS,
    POOL,
    Fleet,
    Host,
    route,
)

ENTRY_HOSTS = ("e1", "e2", "e3", "e4")
VERSIONS = ("v1", "v2", "v3")
RETAINED_SECONDS = 60.0
"""How long the leader still names a version without upstreams."""

MAX_STREAM_SECONDS = 15.0
STEP_SECONDS = 0.05


class Begun(NamedTuple):
    """A stream that has begun, as its caller knows it."""

    first_id: str
    version: str
    at: float


class RandomRun:
    """Draws the next step of a fleet; the leader's list is exact and retained."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._fleet = Fleet("v1")
        self._present = {"v1"}
        self._left_at: dict[str, float] = {}
        self._hosts: dict[str, Host] = {}
        self._tasks: dict[str, curio.Task] = {}
        self._incarnations = Counter()
        self._streams: list[Begun] = []
        self.counts: Counter[str] = Counter()
        self.mixed: list[str] = []

    async def async_run(self, streams: int) -> None:
        """Run until so many streams have begun."""
        for name in ENTRY_HOSTS:
            await self._async_start_entry(name)
        steps = {
            self._async_begin: 0.55,
            self._async_take_up: 0.35,
            self._async_change_versions: 0.02,
            self._async_restart_entry: 0.02,
            self._async_restart_control: 0.02,
            self._async_cut: 0.03,
            self._async_stall_leader: 0.01,
        }
        draws, weights = list(steps), list(steps.values())
        while self.counts["begun"] < streams:
            self._fleet.clock.advance(self._rng.expovariate(1 / STEP_SECONDS))
            (step,) = self._rng.choices(draws, weights)
            await step()

    async def _async_start_entry(self, name: str) -> None:
        if name in self._tasks:
            await self._tasks[name].cancel()
        self._hosts[name] = self._fleet.entry(name)
        recorder = self._hosts[name].recorder
        self._tasks[name] = await curio.spawn(recorder.async_run())

    async def _async_begin(self) -> None:
        self.counts["begun"] += 1
        host = self._hosts[self._rng.choice(ENTRY_HOSTS)]
        version = self._rng.choice(sorted(self._present))
        first_id = f"stream-{self.counts['begun']}"
        await host.coordinator.async_record(route(), first_id, POOL, version)
        if self._rng.random() < 0.9:
            await _async_settle()
        now = self._fleet.clock.now()
        self._streams.append(Begun(first_id, version, now))
        del self._streams[:-200]

    async def _async_take_up(self) -> None:
        if not self._streams:
            return
        begun = self._rng.choice(self._streams)
        if self._fleet.clock.now() - begun.at > MAX_STREAM_SECONDS:
            return
        host = self._hosts[self._rng.choice(ENTRY_HOSTS)]
        named = self._rng.random() < 0.95
        wrong_id = f"unknown-{self.counts['taken up']}"
        first_id = begun.first_id if named else self._rng.choice(("", wrong_id))
        found = await host.coordinator.async_find(route(), first_id)
        self.counts["taken up"] += 1
        if not isinstance(found, StreamOrigin):
            self.counts["final" if found.final else "later"] += 1
            return
        self.counts[found.source] += 1
        if found.version != begun.version:
            self.mixed.append(f"{begun} went on at {found}")
        await host.coordinator.async_record(route(), first_id, POOL, found.version)

    async def _async_change_versions(self) -> None:
        """Let a version join or leave; hosts hear of it at once or not at all yet."""
        now = self._fleet.clock.now()
        version = self._rng.choice(VERSIONS)
        if version not in self._present:
            self._present.add(version)
            self._left_at.pop(version, None)
        elif len(self._present) > 1:
            self._present.remove(version)
            self._left_at[version] = now
        recent = {v for v, at in self._left_at.items() if now - at <= RETAINED_SECONDS}
        known = tuple(sorted(self._present | recent))
        self._fleet.leader.versions_by_service = {POOL: known}
        if self._rng.random() < 0.7:
            self._fleet.upstreams.set(*sorted(self._present))

    async def _async_restart_entry(self) -> None:
        await self._async_start_entry(self._rng.choice(ENTRY_HOSTS))

    async def _async_restart_control(self) -> None:
        name = self._rng.choice(CONTROL_HOSTS)
        self._incarnations[name] += 1
        self._fleet.start_control(name, str(self._incarnations[name]))

    async def _async_cut(self) -> None:
        name = self._rng.choice(CONTROL_HOSTS)
        self._fleet.network.cut ^= {name}

    async def _async_stall_leader(self) -> None:
        self._fleet.leader.replies = not self._fleet.leader.replies


async def _async_settle() -> None:
    """Let the recorders send what is pending."""
    for _ in range(4):
        await curio.sleep(0)


def run(seed: int, streams: int) -> RandomRun:
    """Return a finished run."""
    made = RandomRun(seed)
    curio.run(made.async_run, streams)
    return made


def main() -> None:
    """Print the counts of one run, and the streams that changed their version."""
    made = run(int(sys.argv[1]), int(sys.argv[2]))
    print(dict(made.counts), f"mixed {len(made.mixed)}", *made.mixed[:3], sep="\n")


if __name__ == "__main__":
    main()
