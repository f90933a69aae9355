"""Prompt parts that crash each engine which begins to answer on them.

`PYTHONPATH=platform python -m tests.platform.crashing_parts` prints the whole table.
"""

import http.client
import random
import socket
import sys
import tempfile
import threading
import time
import uuid
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from typing import Any, NamedTuple

from tests.platform.builders import KEY
from tests.platform.processes import (
    CONTROL_IPS,
    ENTRY_PORT,
    HEALTH_PATH,
    SUBNET,
)
from tests.platform.stream_versions import (
    FIRST_PAUSE,
    INTERNAL_PORT,
    OLD,
    StreamEngine,
    StreamFleet,
    leave_alone,
    print_row,
    read_lines,
    restart_in_turn,
)
from tests.scenarios.cut_paths import SILENT

ENTRY_IPS = tuple(f"{SUBNET}.{number}" for number in range(9, 15))
CONTROL_IPS_OF_FIVE = (*CONTROL_IPS, f"{SUBNET}.4", f"{SUBNET}.5")
CONTROL_UP_SECONDS = 3.0
"""Time between two restarts of hosts of control; beside load a start takes long."""

ENGINES = 8
SECONDS = 20.0
CONTACT_WINDOW = 3.0
CRASHES_ALLOWED = 5
BACK_AFTER = 2.0
"""Seconds after which an ended engine is replaced by another at its address."""

BACK_AT_ONCE = 0.1
"""The same, less than it takes to prove by refused connections that one has ended."""

DEADLINE_MS = 6000
READ_TIMEOUT = 3.0
REPEATS = 2
"""Times that a caller repeats a request without an answer at other hosts."""

OTHER_KEY = "key-of-surveyors"
SHARED, BAD, SECOND_BAD = "5a5a01", "bad001", "bad002"
OK = 200
ERROR_RECORD = '"level":"error"'


class CrashingEngine(StreamEngine):
    """An engine that ends once it begins an answer on a bad part of a prompt."""

    def __init__(self, fleet: "CrashingFleet", number: int, name: str = "") -> None:
        self.fleet = fleet
        self._sockets: set[socket.socket] = set()
        name = name or f"e{number}-{uuid.uuid4().hex[:6]}"
        super().__init__(name, f"{SUBNET}.{100 + number}", OLD, 0.0, self.slots)
        self.number = number

    def respond(self, handler: BaseHTTPRequestHandler) -> None:
        """Answer like other engines, or end."""
        self._sockets.add(handler.connection)
        if self.ended:
            self._reset(handler)
            return
        parts = _parts(handler.headers.get("X-Prefix-Hash", ""))
        if handler.path == HEALTH_PATH or not self.fleet.bad_parts.intersection(parts):
            self.respond_soundly(handler)
            return
        at = time.monotonic()
        handler.rfile.read(int(handler.headers.get("Content-Length", 0)))
        time.sleep(FIRST_PAUSE)
        if self.ended:
            self._reset(handler)
            return
        handler.send_response(OK)
        handler.send_header("X-Attempt-Id", handler.headers["X-Attempt-Id"])
        handler.send_header("X-Engine-Signature", "signed")
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        time.sleep(FIRST_PAUSE)
        self.fleet.record_crash(self, at)
        self._reset(handler)

    def respond_soundly(self, handler: BaseHTTPRequestHandler) -> None:
        """Respond to a request without a bad part."""
        super().respond(handler)

    def end(self) -> None:
        """End at once: refuse connections and reset those that are open."""
        self._stopped.set()
        # The server itself stops listening only with its next poll.
        _reset_socket(self._server.socket)
        for each in list(self._sockets):
            _reset_socket(each)
        self.close()

    def _reset(self, handler: BaseHTTPRequestHandler) -> None:
        handler.close_connection = True
        _reset_socket(handler.connection)


class CrashingFleet(StreamFleet):
    """A fleet whose engines crash on some parts and are replaced after a while."""

    engine_class = CrashingEngine

    def __init__(
        self,
        folder: Path,
        back_after: float = BACK_AFTER,
        entry_ips: tuple[str, ...] = ENTRY_IPS,
    ) -> None:
        super().__init__(folder, entry_ips, CONTROL_IPS_OF_FIVE)
        self._back_after = back_after
        self._configuration["tenants"].append(
            {"name": "surveyors", "api_keys": [OTHER_KEY], "priority": 2}
        )
        self.bad_parts: frozenset[str] = frozenset()
        self.crashes: list[float] = []
        self.arrivals: list[float] = []
        self._crash_lock = threading.Lock()
        self._closed = threading.Event()

    def add_engines(self, count: int = ENGINES) -> None:
        """Start the engines and wait until each one serves."""
        for number in range(count):
            self._start_engine(number)
        deadline = time.monotonic() + 20
        while not all(engine.requests for engine in self.engines):
            assert time.monotonic() < deadline, "an engine gets no requests"
            threads = [
                threading.Thread(target=send, args=(ip, KEY, (SHARED, _own())))
                for ip in self.entry_ips
                for _ in range(6)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()

    def record_crash(self, engine: CrashingEngine, arrived: float) -> None:
        """End an engine under a request that arrived at it at that time."""
        with self._crash_lock:
            self.arrivals.append(arrived)
            if engine.ended:
                return
            self.crashes.append(time.monotonic())
        self.end_engine(engine)

    def end_engine(self, engine: CrashingEngine) -> None:
        """End an engine now, and start another one at its address later."""
        self.engines.remove(engine)
        threading.Thread(target=self._replace, args=(engine,), daemon=True).start()

    def _replace(self, engine: CrashingEngine) -> None:
        engine.end()
        if not self._closed.wait(self._back_after):
            self._start_engine(engine.number)

    def _start_engine(self, number: int) -> None:
        engine = self.engine_class(self, number)
        self.own(engine)
        self.engines.append(engine)

    def stop(self) -> None:
        """Replace no engine any more, and end the processes."""
        self._closed.set()
        super().stop()


class Sent(NamedTuple):
    """One attempt of a caller: its kind, and whether its answer began."""

    at: float
    kind: str
    first_attempt: bool
    status: int
    begun: bool
    retry_after: float | None
    body: bytes


class Kind(NamedTuple):
    """Requests of one kind: how many a second, whose, and with which parts."""

    name: str
    a_second: float
    key: str
    parts: Callable[[], tuple[str, ...]]


def _own() -> str:
    return uuid.uuid4().hex[:8]


def _bad_in_the_middle() -> tuple[str, ...]:
    return SHARED, BAD, _own()


SOUND = (
    Kind("sound", 10.0, KEY, lambda: (SHARED, "5a5a02", _own())),
    Kind("first part only", 10.0, KEY, lambda: (SHARED, _own())),
    Kind("other caller", 10.0, OTHER_KEY, lambda: ("07he01", _own())),
)


class Load:
    """Callers that send each kind of request at its rate, at any entry host."""

    def __init__(
        self, kinds: tuple[Kind, ...], ips: tuple[str, ...], equal_bodies: bool
    ) -> None:
        self.sent: list[Sent] = []
        self._ips = ips
        self._equal_bodies = equal_bodies
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(kind,), daemon=True)
            for kind in kinds
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Send no more requests."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, kind: Kind) -> None:
        due = time.monotonic()
        while not self._stopped.wait(max(0.0, due - time.monotonic())):
            threading.Thread(target=self.call, args=(kind,), daemon=True).start()
            due += 1.0 / kind.a_second

    def call(self, kind: Kind) -> None:
        """Send a request, and again elsewhere while no answer begins."""
        parts = kind.parts()
        body = b"{}" if self._equal_bodies else uuid.uuid4().hex.encode()
        ips = random.sample(self._ips, REPEATS + 1)
        for number, ip in enumerate(ips):
            at = time.monotonic()
            status, begun, retry_after, text = send(ip, kind.key, parts, body)
            self.sent.append(
                Sent(at, kind.name, not number, status, begun, retry_after, text)
            )
            if begun:
                return


def send(
    ip: str, key: str, parts: tuple[str, ...], body: bytes = b"{}"
) -> tuple[int, bool, float | None, bytes]:
    """Send a request; return status, whether it began, Retry-After and any refusal."""
    headers = {
        "Host": "trees.example",
        "Authorization": f"Token {key}",
        "X-Attempt-Id": uuid.uuid4().hex,
        "X-Deadline-Ms": str(DEADLINE_MS),
        "X-Token-Usage": "100,12",
        "X-Prefix-Hash": ",".join(f"{part}:30" for part in parts),
    }
    connection = http.client.HTTPConnection(ip, ENTRY_PORT, READ_TIMEOUT)
    status, begun, retry_after, text = 0, False, None, b""
    try:
        connection.request("POST", "/trees/1", body, headers)
        response = connection.getresponse()
        status = response.status
        value = response.headers.get("Retry-After")
        retry_after = None if value is None else float(value)
        for line in read_lines(response):
            begun = begun or line.startswith(b"id: ")
            if status != OK:
                text += line
    except (OSError, http.client.HTTPException, ValueError):
        pass
    finally:
        connection.close()
    return status, begun, retry_after, text


class Tally(NamedTuple):
    """What a run showed; shares are of first attempts whose answer began.

    late counts the arrivals from the window after the fifth crash on. The shares
    from_first are from the first crash until two windows after the fifth (or the
    last), then from there on. errors counts the hosts' records at level error.
    """

    crashes: int
    late: int
    from_first: float
    then: dict[str, float]
    counts: dict[str, int]
    refusals: dict[int, int]
    errors: int


def tally(fleet: CrashingFleet, load: Load) -> Tally:
    """Return what a run showed."""
    ends = sorted(fleet.crashes)
    fifth = ends[min(len(ends), CRASHES_ALLOWED) - 1] if ends else 0.0
    late = 0
    if len(ends) >= CRASHES_ALLOWED:
        late = sum(at > fifth + CONTACT_WINDOW for at in fleet.arrivals)
    settled = fifth + 2 * CONTACT_WINDOW
    first = [item for item in load.sent if item.first_attempt]
    sound = [item for item in first if item.kind in {kind.name for kind in SOUND}]
    early = [item for item in sound if (ends or [0.0])[0] <= item.at < settled]
    then: dict[str, float] = {}
    counts: dict[str, int] = {}
    for kind in SOUND:
        found = [i for i in sound if i.kind == kind.name and i.at >= settled]
        counts[kind.name] = len(found)
        then[kind.name] = sum(i.begun for i in found) / max(1, len(found))
    refusals: dict[int, int] = {}
    for item in load.sent:
        if item.kind == "bad" and not item.begun and item.at >= settled:
            refusals[item.status] = refusals.get(item.status, 0) + 1
    share = sum(i.begun for i in early) / max(1, len(early)) if early else 1.0
    errors = sum(
        process.log.read_text(errors="replace").count(ERROR_RECORD)
        for process in fleet.process_by_ip.values()
    )
    return Tally(len(ends), late, share, then, counts, refusals, errors)


Trouble = Callable[[CrashingFleet, float], Any]
"""Disturbs a fleet until a time of the monotonic clock."""


def restart_all_after_the_fifth(fleet: CrashingFleet, until: float) -> None:
    """Kill all hosts 6 s after the fifth crash, or 8 s after the first one."""
    while time.monotonic() < until - 4.0:
        ends = sorted(fleet.crashes)
        now = time.monotonic()
        if len(ends) >= CRASHES_ALLOWED and now > ends[4] + 6.0:
            break
        if ends and now > ends[0] + 8.0:
            break
        time.sleep(0.05)
    fleet.restart_all()
    leave_alone(fleet, until)


def cut_off_two(fleet: CrashingFleet, until: float) -> None:
    """Cut two entry hosts off from control and the other hosts."""
    time.sleep(2.0)
    with fleet.cut(fleet.entry_ips[:2], SILENT, INTERNAL_PORT):
        leave_alone(fleet, until)


def end_by_themselves(fleet: CrashingFleet, until: float) -> None:
    """End an engine every 1.5 s, whatever it runs."""
    while time.monotonic() + 1.5 < until:
        fleet.end_engine(random.choice(fleet.engines))
        time.sleep(1.5)
    leave_alone(fleet, until)


class Row(NamedTuple):
    """A row of the table."""

    name: str
    trouble: Trouble = leave_alone
    parts: Callable[[], tuple[str, ...]] = _bad_in_the_middle
    bad_parts: tuple[str, ...] = (BAD,)
    a_second: float = 4.0
    at_once: int = 0
    equal_bodies: bool = False
    back_after: float = BACK_AFTER


def _either_bad() -> tuple[str, ...]:
    return SHARED, random.choice((BAD, SECOND_BAD)), _own()


ROWS = (
    Row("bad part in the middle"),
    Row("bad part first", parts=lambda: (BAD, SHARED, _own())),
    Row("two bad parts", parts=_either_bad, bad_parts=(BAD, SECOND_BAD)),
    Row("one bad request in 2 s", a_second=0.5),
    Row(
        "control hosts restart in turn",
        restart_in_turn(CONTROL_IPS_OF_FIVE, up=CONTROL_UP_SECONDS),
    ),
    Row("entry hosts restart in turn", restart_in_turn(ENTRY_IPS)),
    Row("every host restarts at once", restart_all_after_the_fifth),
    Row("two entry hosts are cut off", cut_off_two),
    Row("eight bad requests at once", at_once=8),
    Row("equal bodies", equal_bodies=True),
    Row("engines are back at once", back_after=BACK_AT_ONCE),
    Row("engines end by themselves", end_by_themselves, bad_parts=()),
)


def run(row: Row, folder: Path, seconds: float = SECONDS) -> Tally:
    """Play a row on a fleet of its own."""
    with CrashingFleet(folder, row.back_after) as fleet:
        fleet.add_engines()
        fleet.bad_parts = frozenset(row.bad_parts)
        bad = (Kind("bad", row.a_second, KEY, row.parts),) if row.bad_parts else ()
        load = Load(SOUND + bad, fleet.entry_ips, row.equal_bodies)
        for _ in range(row.at_once):
            threading.Thread(target=load.call, args=bad, daemon=True).start()
        row.trouble(fleet, time.monotonic() + seconds)
        load.stop()
        return tally(fleet, load)


def _parts(value: str) -> list[str]:
    """Return the ids of the parts that may crash an engine: all but the last."""
    return [item.partition(":")[0] for item in value.split(",")][:-1]


def _reset_socket(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def main() -> None:
    """Print one line for each row of the table, or for those named."""
    names = [name for name in sys.argv[1:] if not name.isdigit()]
    seconds = [float(name) for name in sys.argv[1:] if name.isdigit()]
    for row in ROWS:
        if names and row.name not in names:
            continue
        with tempfile.TemporaryDirectory() as folder:
            found = run(row, Path(folder), *seconds)
        print_row(row.name, found)


if __name__ == "__main__":
    main()
