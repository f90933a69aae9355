"""A fleet whose engines are processes, so that they can be paused by signals."""

import itertools
import json
import os
import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

from tests.platform.builders import KEY, document, route
from tests.platform.crashing_parts import OTHER_KEY
from tests.platform.cut_fleet import CutFleet
from tests.platform.engine_process import CUT, WHOLE, Arguments
from tests.platform.processes import CONTROL_IPS, SUBNET
from tests.scenarios.processes import Process

ENTRY_IPS = tuple(f"{SUBNET}.{number}" for number in range(9, 15))
SERVICE = "llm"
ENGINES = 5
SLOTS = 6
QUEUE = 2
FIRST_PORT = 8486
"""Port of the first engine; each has its own, so that paths to one can be cut."""

FIRST_VERSION = 100
TIMEOUTS_MS = (12_000, 13_000, 12_500)
IDLE_TIMEOUTS_MS = (15_000, 9_000, 20_000)
EXTRA_PREFIXES = ("/extra/", "/moved/", "/extra/again/")
QUOTA_PER_SECOND = 15
LEAVE_SECONDS = 20.0


class Run(NamedTuple):
    """A run of a request at an engine; ended is None while it lasts."""

    request_id: str
    started: float
    ended: float | None
    whole: bool


class EngineHandle(Process):
    """An engine process, and the file of what it ran."""

    def __init__(self, name: str, number: int, folder: Path) -> None:
        self.port = FIRST_PORT + number
        self.runs_file = folder / f"{name}.runs"
        arguments = Arguments(
            name=name,
            ip=f"{SUBNET}.{100 + number}",
            port=self.port,
            service=SERVICE,
            slots=SLOTS,
            queue=QUEUE,
            control_ips=CONTROL_IPS,
            runs=self.runs_file,
        )
        module = "tests.platform.engine_process"
        super().__init__(name, module, arguments.to_list(), folder)

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.exit_code() is not None

    def runs(self) -> list[Run]:
        """Return all runs so far, in the order in which they started."""
        found: list[Run] = []
        if not self.runs_file.exists():
            return found
        current: dict[str, int] = {}
        for text in self.runs_file.read_text().splitlines():
            line = json.loads(text)
            request_id, what, at = line["request"], line["what"], line["at"]
            if what in (WHOLE, CUT):
                index = current.pop(request_id)
                found[index] = found[index]._replace(ended=at, whole=what == WHOLE)
            else:
                current[request_id] = len(found)
                found.append(Run(request_id, at, None, False))
        return found


class SilentFleet(CutFleet):
    """Hosts, and engines that can be paused.

    stopped_at_by_ip has when entry hosts were told to stop.
    """

    contracts = "base,config,stream"

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, CONTROL_IPS, ENTRY_IPS, configuration(FIRST_VERSION))
        self.engines: list[EngineHandle] = []
        self.ended_engines: list[EngineHandle] = []
        self.stopped_at_by_ip: dict[str, float] = {}
        self._generations = itertools.count()
        self._version = FIRST_VERSION
        self._change_lock = threading.Lock()

    def add_engines(self) -> None:
        """Start all engines."""
        self.engines += [self._start_engine(number) for number in range(ENGINES)]

    def _start_engine(self, number: int) -> EngineHandle:
        """Start an engine on its own address and port."""
        name = f"e-{number}-{next(self._generations)}"
        engine = EngineHandle(name, number, self._folder)
        self._stack.callback(engine.kill)
        engine.start()
        return engine

    def replace_engine(self, number: int) -> None:
        """Let an engine leave, and start another at its address once it has left."""
        engine = self.engines[number]
        engine.signal(signal.SIGTERM)
        ends = time.monotonic() + LEAVE_SECONDS
        while not engine.has_ended and time.monotonic() < ends:
            time.sleep(0.05)
        engine.kill()
        self.ended_engines.append(engine)
        self.engines[number] = self._start_engine(number)

    def check_engines(self) -> None:
        """Raise RuntimeError if an engine has ended that wasn't told to."""
        ended = [engine.name for engine in self.engines if engine.has_ended]
        if ended:
            raise RuntimeError(f"engines ended by themselves: {', '.join(ended)}")

    @contextmanager
    def paused(self, engines: list[EngineHandle]) -> Iterator[None]:
        """Pause some engines, all at one moment."""
        try:
            for engine in engines:
                os.kill(engine.pid, signal.SIGSTOP)
            yield
        finally:
            for engine in engines:
                if not engine.has_ended:
                    os.kill(engine.pid, signal.SIGCONT)

    def change(self) -> None:
        """Send the next configuration until control accepts it."""
        with self._change_lock:
            self._version += 1
            body = configuration(self._version)
            self.until(lambda: self.order("PUT", "/-/config", body)[0] == 200)

    def stop_entry(self, ip: str) -> None:
        """Tell an entry host to stop, and start it again once it has stopped."""
        process = self.process_by_ip[ip]
        self.stopped_at_by_ip[ip] = time.monotonic()
        process.signal(signal.SIGTERM)
        ends = time.monotonic() + LEAVE_SECONDS
        while process.exit_code() is None and time.monotonic() < ends:
            time.sleep(0.05)
        process.kill()
        process.start()

    @property
    def all_engines(self) -> list[EngineHandle]:
        """The engines, also those that have left."""
        return self.ended_engines + self.engines

    def events(self, kind: str) -> list[dict[str, Any]]:
        """Return the events of a kind in the logs of all entry hosts."""
        found = []
        for ip in self.entry_ips:
            log = self.process_by_ip[ip].log
            for line in log.read_text(errors="replace").splitlines():
                if f'"event":"{kind}"' in line:
                    found.append(json.loads(line))
        return found


def configuration(version: int) -> dict[str, Any]:
    """Return the configuration of a version.

    Versions differ in the time that an idle connection is kept, in the longest time of
    a request, and in the prefix of a route that no caller uses.
    """
    step = version - FIRST_VERSION
    common = {
        "service": SERVICE,
        "timeout_ms": TIMEOUTS_MS[step % len(TIMEOUTS_MS)],
        "target_latency_ms": 800,
        "max_attempts": 3,
    }
    calls = common | {"target_itl_ms": 0, "stream_resume": False}
    kinds = (
        ("r-1", "/trees/", common),
        ("r-2", "/seeds/", common | {"stream_resume": False}),
        ("r-3", "/tiles/", calls | {"route_kind": "idempotent"}),
        ("r-4", "/pins/", calls | {"route_kind": "non_idempotent"}),
        (
            "r-9",
            EXTRA_PREFIXES[step % len(EXTRA_PREFIXES)],
            calls | {"route_kind": "idempotent"},
        ),
    )
    return document(
        *(route(name=name, path_prefix=prefix, **more) for name, prefix, more in kinds),
        version=version,
        services=[
            {
                "name": SERVICE,
                "max_connections": 500,
                "engine_id": {"kv_capacity": 1_000_000},
            }
        ],
        limits={
            "max_body_bytes": 100_000,
            "idle_timeout_ms": IDLE_TIMEOUTS_MS[step % len(IDLE_TIMEOUTS_MS)],
        },
        tenants=[
            {"name": "foresters", "api_keys": [KEY], "priority": 2},
            {
                "name": "surveyors",
                "api_keys": [OTHER_KEY],
                "priority": 2,
                "rate_per_s": QUOTA_PER_SECOND,
                "burst": QUOTA_PER_SECOND,
            },
        ],
    )
