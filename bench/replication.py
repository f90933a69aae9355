"""Measures the replicated log; prints JSON.

First with three processes on loopback that use the product's links and synced writes to
data folders in the given folder; then log replay and snapshot transfer.
Run from the root of the project:

    python -m bench.replication FOLDER [processes|recovery]
"""

import json
import os
import statistics
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import curio

from bitterntiller.components import links, replication
from bitterntiller.components.links.coordinator import LinkCoordinator
from bitterntiller.components.links.models import Peer
from bitterntiller.components.replication.models import (
    Entry,
    HardState,
    Persist,
)
from bitterntiller.components.replication.storage import Storage
from bitterntiller.components.settings.models import (
    Address,
    Control,
    Keys,
    Listen,
    Settings,
)
from bitterntiller.core.clock import RuntimeClock
from bitterntiller.core.runtime import Runtime

HOSTS = ("a", "b", "c")
FIRST_PORT = 27310
"""Below the ephemeral ports; an outgoing connection could take a dead host's port."""
COMMAND = b"x" * 200
CALLERS = (1, 16, 64, 256)
SECONDS = 4.0
KILLS = 30
REPLAY_ENTRIES = (10_000, 100_000)
SNAPSHOT_BYTES = (1_000_000, 10_000_000, 50_000_000)
READY = "ready"


class SyncTimings:
    """Metrics that record the durations of synced writes."""

    def __init__(self) -> None:
        self.syncs: list[float] = []

    def count(self, name: str, by: int = 1) -> None: ...

    def timing(self, name: str, seconds: float) -> None:
        if name == "replication.sync":
            self.syncs.append(seconds)

    def gauge(self, name: str, value: float) -> None: ...


class BlobState:
    """A replicated state of a number of bytes that commands don't change."""

    def __init__(self, size: int = 0) -> None:
        self.data = bytes(size)
        self.restored_at = 0.0

    def apply(self, index: int, command: bytes) -> bytes:
        return b""

    def snapshot(self) -> bytes:
        return self.data

    def restore(self, data: bytes) -> None:
        self.data = data
        self.restored_at = time.monotonic()


def make_settings(
    host: str, folder: Path, bootstrap: tuple[str, ...], every: int
) -> Any:
    addresses = tuple(Address("127.0.0.1", FIRST_PORT + n) for n in range(len(HOSTS)))
    own = addresses[HOSTS.index(host)]
    return Settings(
        host,
        "zone",
        "region",
        ("control",),
        Listen(own, own, own),
        Keys(b"", b"internal", b""),
        Control(addresses, bootstrap, every),
        folder / host,
        None,
    )


async def async_open(
    host: str,
    folder: Path,
    blob: BlobState,
    bootstrap: tuple[str, ...] = HOSTS,
    every: int = 1_000_000,
) -> tuple[Runtime, Any]:
    settings = make_settings(host, folder, bootstrap, every)
    clock, metrics = RuntimeClock(), SyncTimings()
    runtime = Runtime(settings, clock, metrics)
    own = Peer(host, runtime.incarnation, str(settings.listen.peer_address))
    runtime.links = LinkCoordinator(
        own, settings.listen.internal, settings.keys.internal, clock, metrics
    )
    await runtime.stack.__aenter__()
    await links.async_setup(runtime, runtime.links)
    return runtime, await replication.async_setup(runtime, blob)


def run_replica(host: str, folder: str) -> None:
    """Serve until killed; print each confirmed start of leadership."""

    async def serve() -> None:
        runtime, log = await async_open(host, Path(folder), BlobState())
        sys.stdout.write(f"{READY}\n")
        sys.stdout.flush()
        commands = curio.Queue()
        reader = await curio.spawn(async_read_commands, commands)
        was_leader = False
        while not reader.terminated:
            is_leader = log.is_leader() and await log.async_confirm(1.0) is not None
            if is_leader and not was_leader:
                print_figures(leader=runtime.clock.now())
            was_leader = is_leader
            if not commands.empty():
                await commands.get()
                print_figures(load=[await async_load(runtime, log, n) for n in CALLERS])
            await curio.sleep(0.005 if not was_leader else 0.05)

    curio.run(serve)


async def async_read_commands(commands: curio.Queue) -> None:
    while await curio.run_in_thread(sys.stdin.readline):
        await commands.put("load")


def print_figures(**figures: Any) -> None:
    sys.stdout.write(json.dumps(figures) + "\n")
    sys.stdout.flush()


async def async_load(runtime: Runtime, log: Any, callers: int) -> dict[str, Any]:
    took: list[float] = []
    runtime.metrics.syncs.clear()
    used = time.process_time()
    end = time.monotonic() + SECONDS

    async def call() -> None:
        while time.monotonic() < end:
            started_at = time.monotonic()
            result = await log.async_propose(COMMAND, 5.0)
            if result.status == "committed":
                took.append(time.monotonic() - started_at)

    async with curio.TaskGroup() as group:
        for _ in range(callers):
            await group.spawn(call)
    syncs = sorted(runtime.metrics.syncs)
    return {
        "callers": callers,
        "commits_per_s": round(len(took) / SECONDS),
        **percentiles_ms("latency", took),
        **percentiles_ms("leader_sync", syncs),
        "leader_syncs": len(syncs),
        "leader_cpu_s_per_s": round((time.process_time() - used) / SECONDS, 2),
    }


def percentiles_ms(name: str, seconds: list[float]) -> dict[str, float]:
    ordered = sorted(seconds) or [0.0]
    pick = {
        "p50": ordered[len(ordered) // 2],
        "p99": ordered[min(len(ordered) - 1, len(ordered) * 99 // 100)],
        "max": ordered[-1],
    }
    return {f"{name}_{key}_ms": round(value * 1000, 2) for key, value in pick.items()}


class Replica:
    """A child process of this script."""

    def __init__(self, host: str, folder: Path) -> None:
        self.host = host
        command = [sys.executable, "-m", "bench.replication", "replica", host, folder]
        self.process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        os.set_blocking(self.process.stdout.fileno(), False)

    def lines(self) -> list[str]:
        return self.process.stdout.readlines() if self.process.stdout else []

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()


def wait_for_figure(replicas: dict[str, Replica], name: str, timeout: float) -> Any:
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        for replica in list(replicas.values()):
            for line in replica.lines():
                if line.startswith("{") and name in json.loads(line):
                    return replica.host, json.loads(line)[name]
        time.sleep(0.002)
    raise TimeoutError(f"no {name} within {timeout} s")


def measure_processes(folder: Path) -> dict[str, Any]:
    replicas = {host: Replica(host, folder) for host in HOSTS}
    try:
        leader, _ = wait_for_figure(replicas, "leader", 15)
        replicas[leader].process.stdin.write("load\n")
        replicas[leader].process.stdin.flush()
        _, load = wait_for_figure(replicas, "load", 10 + len(CALLERS) * (SECONDS + 5))
        leaderless_seconds = []
        for _ in range(KILLS):
            killed_at = time.clock_gettime(time.CLOCK_BOOTTIME)
            replicas.pop(leader).kill()
            new, led_at = wait_for_figure(replicas, "leader", 15)
            leaderless_seconds.append(led_at - killed_at)
            replicas[leader] = Replica(leader, folder)
            leader = new
            time.sleep(2.5)
        return {
            "load": load,
            "without_leader_s": {
                "tries": len(leaderless_seconds),
                "p50": round(statistics.median(leaderless_seconds), 2),
                "max": round(max(leaderless_seconds), 2),
            },
        }
    finally:
        for replica in replicas.values():
            replica.kill()


def measure_replay(folder: Path) -> list[dict[str, Any]]:
    figures = []
    for count in REPLAY_ENTRIES:
        path = folder / f"replay-{count}"
        storage = Storage(path, "a")
        for start in range(1, count + 1, 100):
            entries = tuple(Entry(i, 1, 1, COMMAND) for i in range(start, start + 100))
            hard = HardState(1, "", 1)
            storage.write(Persist(start, hard, None, None, entries, None))
        storage.close()
        started_at = time.monotonic()
        opened = Storage(path, "a")
        took = time.monotonic() - started_at
        opened.close()
        size = sum(p.stat().st_size for p in path.iterdir())
        figures.append({"entries": count, "bytes": size, "seconds": round(took, 3)})
    return figures


async def async_measure_snapshot(folder: Path, size: int) -> dict[str, Any]:
    """Send a snapshot to an empty learner over loopback."""
    folder = folder / f"snapshot-{size}"
    first, log = await async_open("a", folder, BlobState(size), ("a",), every=1050)
    while await log.async_confirm(1.0) is None:
        await curio.sleep(0.02)
    for _ in range(1100):
        await log.async_propose(b"x", 5.0)
    blob = BlobState()
    started_at = time.monotonic()
    second, _ = await async_open("b", folder, blob, ("a",))
    async with curio.timeout_after(60):
        while not blob.restored_at or len(blob.data) < size:
            await curio.sleep(0.01)
    took = blob.restored_at - started_at
    await second.stack.aclose()
    await first.stack.aclose()
    return {"bytes": size, "seconds_from_start_of_learner": round(took, 2)}


def main() -> None:
    if sys.argv[1] == "replica":
        run_replica(sys.argv[2], sys.argv[3])
        return
    folder = Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    part = sys.argv[2] if len(sys.argv) > 2 else ""
    figures: dict[str, Any] = {}
    if part in ("", "processes"):
        figures |= measure_processes(folder)
    if part in ("", "recovery"):
        figures["replay"] = measure_replay(folder)
        figures["snapshot_transfer"] = [
            curio.run(async_measure_snapshot, folder, size) for size in SNAPSHOT_BYTES
        ]
    json.dump(figures, sys.stdout, indent=2)


if __name__ == "__main__":
    main()
