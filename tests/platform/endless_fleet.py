"""A fleet of real processes with engines that can be told to send without end."""

import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

import xxhash

from tests.platform.builders import document, route
from tests.platform.endless_callers import LONG_TIMEOUT_SECONDS, TIMEOUT_SECONDS, Route
from tests.platform.endless_engine import Held, HeldFile, Orders, held_file, orders_file
from tests.platform.processes import PlatformProcess
from tests.platform.silent_fleet import (
    ENTRY_IPS,
    EXTRA_PREFIXES,
    FIRST_VERSION,
    IDLE_TIMEOUTS_MS,
    SERVICE,
    EngineHandle,
    SilentFleet,
)
from tests.scenarios.processes import Process

__all__ = ["ENGINES", "ENTRY_IPS", "EndlessFleet", "Usage"]

ENGINES = 6
ATTEMPTS = 3
BUDGET_EXTRA = 52
"""Retries that the fleet may make besides those that requests earn, as on the sites."""

SAMPLE_SECONDS = 0.1
TICKS_PER_SECOND = 100
"""Unit of processor time in /proc on Linux."""

KILOBYTES_PER_MEGABYTE = 1024
HASHES = 1 << 64
ERROR_RECORD = '"level":"error"'


class Usage(NamedTuple):
    """What entry hosts used in a time: cores together, and memory of the largest."""

    cores: float
    megabytes: float


class EndlessHandle(EngineHandle):
    """An engine process that can be told to send without end."""

    def __init__(self, name: str, number: int, folder: Path) -> None:
        super().__init__(name, number, folder)
        module = "tests.platform.endless_engine"
        self.command = [sys.executable, "-m", module, *self.command[3:]]

    def held(self) -> list[Held]:
        """Return the connections that got bytes without end."""
        return HeldFile.read(held_file(self.runs_file))

    @contextmanager
    def obeying(self, orders: Orders) -> Iterator[None]:
        """Let the engine send bytes without end in place of answers."""
        path = orders_file(self.runs_file)
        orders.write(path)
        try:
            yield
        finally:
            path.unlink()


class UsageSampler:
    """Samples the processor time and memory of some processes."""

    def __init__(self, processes: list[Process]) -> None:
        self._processes = processes
        self._seconds_by_process: dict[tuple[str, int], float] = {}
        self._samples: list[tuple[float, float, float]] = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop sampling."""
        self._stopped.set()
        self._thread.join()

    def between(self, since: float, until: float) -> Usage:
        """Return what was used in a time."""
        chosen = [item for item in self._samples if since <= item[0] < until]
        if not chosen:
            return Usage(0.0, 0.0)
        seconds = sum(item[1] for item in chosen)
        return Usage(seconds / (until - since), max(item[2] for item in chosen))

    def _run(self) -> None:
        while not self._stopped.wait(SAMPLE_SECONDS):
            used, largest = 0.0, 0.0
            for process in self._processes:
                try:
                    seconds, megabytes = _usage(process.pid)
                except (OSError, IndexError, ValueError):
                    continue
                key = process.name, process.pid
                used += seconds - self._seconds_by_process.get(key, seconds)
                self._seconds_by_process[key] = seconds
                largest = max(largest, megabytes)
            self._samples.append((time.monotonic(), used, largest))


class EndlessFleet(SilentFleet):
    """Hosts, and engines that can be told to send without end."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self._configuration = configuration(FIRST_VERSION)
        self.engines: list[EndlessHandle] = []  # type: ignore[assignment]

    def _process(self, ip: str, settings: Path) -> Process:
        return PlatformProcess(ip, settings, self._folder, self.tree)

    def _settings(self, ip: str, bootstrap: bool) -> str:
        return (
            super()._settings(ip, bootstrap) + f"bounds.budget_extra={BUDGET_EXTRA}\n"
        )

    def add_engines(self) -> None:
        """Start all engines."""
        self.engines += [self._start_engine(number) for number in range(ENGINES)]

    def _start_engine(self, number: int) -> EndlessHandle:
        engine = EndlessHandle(f"e-{number}", number, self._folder)
        self._stack.callback(engine.kill)
        engine.start()
        return engine

    def change(self) -> None:
        """Send the next configuration until control accepts it."""
        self._version += 1
        body = configuration(self._version)
        self.until(lambda: self.order("PUT", "/-/config", body)[0] == 200)

    def sample_usage(self) -> UsageSampler:
        """Begin to sample what the entry hosts use."""
        return UsageSampler([self.process_by_ip[ip] for ip in self.entry_ips])

    def errors(self) -> int:
        """Return how many records at level error the hosts have logged."""
        return sum(
            ERROR_RECORD in line
            for process in self.process_by_ip.values()
            for line in process.log.read_text(errors="replace").splitlines()
        )

    def leases_lost(self) -> int:
        """Return how many entry hosts have lost their lease, but for stopped ones."""
        lost = {event["host"] for event in self.events("lease") if not event["held"]}
        stopped = {ip.replace(".", "-") for ip in self.stopped_at_by_ip}
        return len(lost - stopped)

    def logged_fraction(self) -> float:
        """Return the least fraction of requests of which any entry host has lines."""
        return min((event["part"] for event in self.events("sampling")), default=1.0)


def is_in_sample(request_id: str, fraction: float) -> bool:
    """Return whether hosts have lines of a request at a fraction."""
    return xxhash.xxh3_64_intdigest(request_id.encode()) < fraction * HASHES


def _usage(pid: int) -> tuple[float, float]:
    """Return the processor seconds of a process so far, and its memory in megabytes."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    seconds = (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
    status = Path(f"/proc/{pid}/status").read_text()
    resident = status.partition("VmRSS:")[2].split()[0]
    return seconds, int(resident) / KILOBYTES_PER_MEGABYTE


def configuration(version: int) -> dict[str, Any]:
    """Return the configuration of a version.

    Versions differ in the time that an idle connection is kept, and in the prefix of a
    route that no caller uses.
    """
    step = version - FIRST_VERSION
    common = {
        "service": SERVICE,
        "timeout_ms": int(TIMEOUT_SECONDS * 1000),
        "target_latency_ms": 800,
        "max_attempts": ATTEMPTS,
    }
    calls = common | {"target_itl_ms": 0, "stream_resume": False}
    idempotent = calls | {"route_kind": "idempotent"}
    once = calls | {"route_kind": "non_idempotent"}
    long = idempotent | {"timeout_ms": int(LONG_TIMEOUT_SECONDS * 1000)}
    unused = EXTRA_PREFIXES[step % len(EXTRA_PREFIXES)]
    kinds = (
        ("r-1", Route.STREAM, common),
        ("r-2", Route.IDEMPOTENT, idempotent),
        ("r-3", Route.ONCE, once),
        ("r-4", Route.LONG, long),
        ("r-9", unused, idempotent),
    )
    return document(
        *(
            route(name=name, path_prefix=str(prefix), **more)
            for name, prefix, more in kinds
        ),
        version=version,
        services=[
            {
                "name": SERVICE,
                "max_connections": 500,
                "health_path": "/healthz",
                "engine_id": {"kv_capacity": 1_000_000},
            }
        ],
        limits={
            "max_body_bytes": 100_000,
            "idle_timeout_ms": IDLE_TIMEOUTS_MS[step % len(IDLE_TIMEOUTS_MS)],
        },
    )
