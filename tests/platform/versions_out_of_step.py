"""Streams taken up at an entry host that is out of step as engines change versions."""

import random
import signal
import threading
import time
import uuid
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager, nullcontext
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from typing import Any, NamedTuple

from tests.platform.processes import SUBNET
from tests.platform.stream_versions import (
    DEADLINE_MS,
    ENGINES_OF_A_VERSION,
    ENTRY_IPS,
    INTERNAL_PORT,
    NEW,
    OLD,
    Stream,
    StreamEngine,
    StreamFleet,
    attempt,
)

BEHIND_IP = ENTRY_IPS[-1]
CALLERS = 12
TAKES = 20
TAKE_PAUSE = 0.1
LEAVE_AFTER = (1, 4)
USUAL_SECONDS = 1.0
AFTER_SECONDS = 3.0
REPORT_PATH = "/-/report"


class BornEngine(StreamEngine):
    """An engine that states its start, and may start again under its name.

    ping_after is how many seconds after its start it announces itself.
    """

    ping_after = 0.0

    def __init__(self, *arguments: Any) -> None:
        self.born = int(time.time() * 1000)
        self._pings_at = time.monotonic() + self.ping_after
        super().__init__(*arguments)

    def respond(self, handler: BaseHTTPRequestHandler) -> None:
        """Respond to a request for a report, or as other engines do."""
        if handler.path != REPORT_PATH:
            super().respond(handler)
            return
        body = b'{"busy": false, "born": %d}' % self.born
        handler.send_response(200)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def may_announce(self) -> bool:
        """Whether its first announcement is due."""
        return time.monotonic() >= self._pings_at

    def announce_later(self, seconds: float) -> None:
        """Announce itself some seconds from now, not sooner."""
        self._pings_at = time.monotonic() + seconds

    def _changing(self, sequence: int) -> dict[str, Any]:
        return {**super()._changing(sequence), "born": self.born}


class LateEngine(BornEngine):
    """An engine whose first announcement comes late."""

    ping_after = 1.0


class Row(NamedTuple):
    """How a host is out of step while engines change, and what they change to.

    With names_kept, engines start again under their names as engine_class. With
    callers_leave, callers break their streams off and take them up at the host.
    """

    name: str
    out_of_step: Callable[["OutOfStepFleet"], AbstractContextManager[None]]
    seconds: float
    names_kept: bool
    engine_class: type[BornEngine] = BornEngine
    callers_leave: bool = True


class OutOfStepFleet(StreamFleet):
    """A fleet of which one entry host can be out of step."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self._places = 2 * ENGINES_OF_A_VERSION

    def add_old(self, names_kept: bool) -> None:
        """Start the engines of the old version and wait until they serve."""
        count = self._places if names_kept else ENGINES_OF_A_VERSION
        for number in range(count):
            self.add_engine(number, OLD, engine_class=BornEngine)
        self.until(lambda: all(self._begins(ip) for ip in self.entry_ips))

    def _begins(self, ip: str) -> bool:
        ends = time.monotonic() + 3.0
        return bool(attempt(ip, uuid.uuid4().hex, ends, leave_after=1).events)

    def change(self, row: Row) -> None:
        """Let engines of the new version join, or half of all start again as such."""
        if not row.names_kept:
            for number in range(ENGINES_OF_A_VERSION, self._places):
                self.add_engine(number, NEW, engine_class=row.engine_class)
            return
        for engine in self.engines[:ENGINES_OF_A_VERSION]:
            self._start_again(engine, row.engine_class)

    def _start_again(
        self, engine: StreamEngine, engine_class: type[BornEngine]
    ) -> None:
        engine.close()
        self.engines.remove(engine)
        ip = f"{SUBNET}.{100 + engine.number}"
        again = engine_class(engine.name, ip, NEW, 0.0, engine.slots)
        again.number = engine.number
        self.own(again)
        self.engines.append(again)


@contextmanager
def standing_still(fleet: OutOfStepFleet) -> Iterator[None]:
    """Let the host stand still."""
    process = fleet.process_by_ip[BEHIND_IP]
    process.signal(signal.SIGSTOP)
    try:
        yield
    finally:
        process.signal(signal.SIGCONT)


@contextmanager
def restarted(fleet: OutOfStepFleet) -> Iterator[None]:
    """Kill the host and start it again."""
    process = fleet.process_by_ip[BEHIND_IP]
    process.kill()
    try:
        yield
    finally:
        process.start()


def cut_off(
    mode: str,
) -> Callable[[OutOfStepFleet], AbstractContextManager[None]]:
    """Return a way that cuts the host off from all others."""
    return lambda fleet: fleet.cut((BEHIND_IP,), mode, INTERNAL_PORT)


def in_step(fleet: OutOfStepFleet) -> AbstractContextManager[None]:
    """Disturb nothing."""
    return nullcontext()


def play(fleet: OutOfStepFleet, row: Row) -> list[Stream]:
    """Return the streams that callers take up at the host while engines change."""
    fleet.add_old(row.names_kept)
    streams: list[Stream] = []
    stopped = threading.Event()

    def read_on() -> None:
        while not stopped.is_set():
            streams.extend(_read(row.callers_leave))

    threads = [threading.Thread(target=read_on) for _ in range(CALLERS)]
    for thread in threads:
        thread.start()
    time.sleep(USUAL_SECONDS)
    with row.out_of_step(fleet):
        fleet.change(row)
        time.sleep(row.seconds)
    time.sleep(AFTER_SECONDS)
    stopped.set()
    for thread in threads:
        thread.join()
    return streams


def _read(leave: bool) -> list[Stream]:
    """Begin a stream anywhere, take it up at the host; return it if it began."""
    at = time.monotonic()
    ends = at + DEADLINE_MS / 1000
    first_id = uuid.uuid4().hex
    first_ip = random.choice(ENTRY_IPS)
    leave_after = random.randrange(*LEAVE_AFTER) if leave else None
    takes = [attempt(first_ip, first_id, ends, leave_after)]
    if not takes[0].events:
        return []
    after = takes[0].events[-1][0]
    while not takes[0].done and len(takes) < TAKES and time.monotonic() < ends:
        own_id = uuid.uuid4().hex
        take = attempt(BEHIND_IP, own_id, ends, None, first_id, after)
        takes.append(take)
        if take.events or take.done:
            break
        time.sleep(TAKE_PAUSE)
    return [Stream(at, tuple(takes))]
