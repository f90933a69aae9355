"""Streams that callers take up again, served by engines of two software versions.

`PYTHONPATH=platform python -m tests.platform.stream_versions` prints the whole table.
"""

import http.client
import itertools
import random
import signal
import socket
import sys
import tempfile
import threading
import time
import uuid
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from email.message import Message
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from typing import Any, NamedTuple

from tests.platform.builders import KEY, document, route
from tests.platform.cut_fleet import CutFleet
from tests.platform.processes import (
    CONTROL_IPS,
    ENTRY_PORT,
    HEALTH_PATH,
    SUBNET,
    Engine,
    ask,
)
from tests.scenarios.cut_paths import SILENT

ENTRY_IPS = tuple(f"{SUBNET}.{number}" for number in range(9, 15))
STREAM_SERVICE = "llm"
OTHER_SERVICE = "llm-2"
STREAM_PATH = "/trees/1"
OLD, NEW = "v1", "v2"
VERSIONS = (OLD, NEW, "v3")
ENGINES_OF_A_VERSION = 3
EVENTS = 12
EVENT_PAUSE = 0.04
FIRST_PAUSE = 0.03
INTERNAL_PORT = 7600
READY_PORT = 8224
CALLERS = 24
BREAKS = 0.3
"""The share of streams that callers, or engines, break off."""

DOWN_SECONDS = 0.5
UP_SECONDS = 2.0
LEAVE_SECONDS = 1.5
"""Time for which an engine that leaves goes on to serve."""

SECONDS = 16.0
DEADLINE_MS = 6000
ATTEMPTS = 6
ATTEMPT_PAUSE = 0.1
READ_TIMEOUT = 3.0
READ_BYTES = 64 * 1024
"""Bytes that are read at a time; a longer line comes in parts."""

OK = 200
MISDIRECTED = 421


class StreamEngine(Engine):
    """An engine whose streams name its version in each event.

    With breaks, it closes the connection within that share of its streams. With
    close_delimited, streams have neither length nor chunks and end with the connection.
    broken_off has the requests whose streams it did not bring to their end itself.
    """

    service = STREAM_SERVICE
    slots = 8
    breaks = 0.0
    number = 0
    close_delimited = False

    def __init__(
        self, name: str, ip: str, version: str, fails: float, slots: int
    ) -> None:
        self.slots = slots
        self.broken_off: set[str] = set()
        super().__init__(name, ip, version, fails)

    def respond(self, handler: BaseHTTPRequestHandler) -> None:
        """Send the events after the one that the request names."""
        if handler.path == HEALTH_PATH:
            self.respond_to_check(handler)
            return
        headers = handler.headers
        handler.rfile.read(int(headers.get("Content-Length", 0)))
        if headers.get("X-Expected-Instance", self.name) != self.name:
            handler.send_response(MISDIRECTED)
            handler.send_header("Content-Length", "0")
            handler.end_headers()
            return
        after = int(headers.get("Last-Event-Id", 0))
        self.record_request(headers["X-Attempt-Id"])
        left = asked_events(headers) - after
        cut = random.randrange(left) if left and random.random() < self.breaks else None
        time.sleep(FIRST_PAUSE)
        handler.send_response(OK)
        handler.send_header("X-Attempt-Id", headers["X-Attempt-Id"])
        handler.send_header("X-Engine-Signature", "signed")
        handler.send_header("Content-Type", "text/event-stream")
        framed = not self.close_delimited
        if framed:
            handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        handler.close_connection = not framed
        for sent in range(left):
            if sent == cut or self.ended:
                self.break_off(handler)
                return
            event = f"id: {after + sent + 1}\ndata: {self.version}\n\n".encode()
            if framed:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            handler.wfile.write(event)
            time.sleep(EVENT_PAUSE)
        if framed:
            handler.wfile.write(b"0\r\n\r\n")

    def break_off(self, handler: BaseHTTPRequestHandler) -> None:
        """Close the connection of a stream before its end."""
        self.broken_off.add(handler.headers["X-Attempt-Id"])
        handler.connection.shutdown(socket.SHUT_RDWR)
        handler.close_connection = True


class OtherEngine(StreamEngine):
    """An engine of the other service."""

    service = OTHER_SERVICE


class StreamFleet(CutFleet):
    """A fleet whose versions may serve side by side, without an order."""

    contracts = "base,config,stream"

    def __init__(
        self,
        folder: Path,
        entry_ips: tuple[str, ...] = ENTRY_IPS,
        control_ips: tuple[str, ...] = CONTROL_IPS,
    ) -> None:
        streams = route(
            name="r-1",
            path_prefix="/trees/",
            timeout_ms=DEADLINE_MS,
            target_latency_ms=1000,
            max_attempts=3,
        )
        service = {
            "name": STREAM_SERVICE,
            "max_connections": 500,
            "engine_id": {"kv_capacity": 1_000_000},
        }
        configuration = document(streams, services=[service])
        super().__init__(folder, control_ips, entry_ips, configuration)
        self.engines: list[StreamEngine] = []

    def add_engine(
        self,
        number: int,
        version: str,
        slots: int = StreamEngine.slots,
        engine_class: type[StreamEngine] = StreamEngine,
    ) -> StreamEngine:
        """Start an engine of a version on its own address."""
        name = f"{version}-{number}-{uuid.uuid4().hex[:6]}"
        engine = engine_class(name, f"{SUBNET}.{100 + number}", version, 0.0, slots)
        engine.number = number
        self.own(engine)
        self.engines.append(engine)
        return engine

    def end_engines(self, engines: list[StreamEngine]) -> None:
        """Let engines announce that they leave, and end them some time later."""
        for engine in engines:
            engine.drain()
        time.sleep(LEAVE_SECONDS)
        for engine in engines:
            engine.close()
            self.engines.remove(engine)

    def restart_entry_hosts(self, down: float) -> None:
        """Kill all entry hosts at once, and start them later until all serve again."""
        hosts = [self.process_by_ip[ip] for ip in self.entry_ips]
        for process in hosts:
            process.signal(signal.SIGKILL)
        for process in hosts:
            process.kill()
        time.sleep(down)
        for process in hosts:
            process.start()
        for ip in self.entry_ips:
            self.until(lambda ip=ip: _serves(ip))

    def replace_engine(self, engine: StreamEngine, version: str) -> None:
        """End an engine at once and start another at its address."""
        engine.close()
        self.engines.remove(engine)
        self.add_engine(engine.number, version)

    def add_versions(
        self,
        old_slots: int = StreamEngine.slots,
        new_slots: int = StreamEngine.slots,
    ) -> None:
        """Start the engines of both versions and wait until each one serves."""
        for number in range(ENGINES_OF_A_VERSION):
            self.add_engine(number, OLD, old_slots)
        for number in range(ENGINES_OF_A_VERSION, 2 * ENGINES_OF_A_VERSION):
            self.add_engine(number, NEW, new_slots)
        deadline = time.monotonic() + 20
        while not all(engine.requests for engine in self.engines):
            assert time.monotonic() < deadline, "an engine gets no requests"
            readers = StreamCallers(self.entry_ips, breaks=0.0)
            time.sleep(0.5)
            readers.stop()


class MovedRouteFleet(StreamFleet):
    """A fleet whose route moves between two services, each of a version of its own."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        [service] = self._configuration["services"]
        self._configuration["services"] = [service, {**service, "name": OTHER_SERVICE}]

    def add_services(self) -> None:
        """Start the engines of both services and wait until control knows them."""
        for number in range(ENGINES_OF_A_VERSION):
            self.add_engine(number, OLD)
            place = ENGINES_OF_A_VERSION + number
            self.add_engine(place, NEW, engine_class=OtherEngine)
        for service in (OTHER_SERVICE, STREAM_SERVICE):
            self.move_route(service)
            self.until(self._begins_stream)

    def move_route(self, service: str) -> None:
        """Let the route lead to another service."""
        [moved] = self._configuration["route_table"]
        self._configuration["version"] += 1
        self._configuration["route_table"] = [{**moved, "service": service}]
        self.configure()

    def _begins_stream(self) -> bool:
        """Return whether a stream begins at each entry host."""
        for ip in self.entry_ips:
            ends = time.monotonic() + READ_TIMEOUT
            if not attempt(ip, uuid.uuid4().hex, ends, leave_after=1).events:
                return False
        return True


def _serves(ip: str) -> bool:
    """Return whether an entry host says that it is ready."""
    return ask(ip, "GET", "/-/readyz", port=READY_PORT)[0] == OK


class Take(NamedTuple):
    """One attempt of a caller.

    first is the time in seconds to its first event, None without one. done states
    whether the stream is complete.
    """

    ip: str
    after: int
    status: int
    events: tuple[tuple[int, str], ...]
    done: bool
    first: float | None


class Stream(NamedTuple):
    """A stream of a caller: its attempts in order."""

    at: float
    takes: tuple[Take, ...]

    @property
    def began(self) -> bool:
        """Whether the first attempt brought an event."""
        return bool(self.takes[0].events)

    @property
    def asked_again(self) -> bool:
        """Whether an entry host answered an attempt to take the stream up."""
        return any(take.status for take in self.takes[1:])

    @property
    def versions(self) -> frozenset[str]:
        """The versions whose events the stream holds."""
        return frozenset(version for take in self.takes for _, version in take.events)

    @property
    def whole(self) -> bool:
        """Whether the ids of its events follow each other, from the first one on."""
        ids = [number for take in self.takes for number, _ in take.events]
        return ids == list(range(1, len(ids) + 1))


class Tally(NamedTuple):
    """Counts of streams; p50 are medians of the times to the first event."""

    streams: int
    began: int
    mixed: int
    broken: int
    taken_up: int
    went_on: int
    first_p50: float
    taken_up_p50: float

    @property
    def share_begun(self) -> float:
        """The share of new streams that begin."""
        return self.began / max(1, self.streams)

    @property
    def share_gone_on(self) -> float:
        """The share of the streams taken up that go on."""
        return self.went_on / max(1, self.taken_up)


class StreamCallers:
    """Threads that read streams and take up those that break, at any entry host."""

    def __init__(
        self,
        ips: tuple[str, ...],
        breaks: float = BREAKS,
        callers: int = CALLERS,
        first_ips: tuple[str, ...] | None = None,
        pause: float = ATTEMPT_PAUSE,
        path: str = STREAM_PATH,
    ) -> None:
        self.streams: list[Stream] = []
        self._path = path
        self._ips = ips
        self._first_ips = first_ips or ips
        self._breaks = breaks
        self._pause = pause
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, daemon=True) for _ in range(callers)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop after the streams in progress."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(0.02):
            self.streams.append(self._read())

    def _read(self) -> Stream:
        at = time.monotonic()
        ends = at + DEADLINE_MS / 1000
        first_id = uuid.uuid4().hex
        leave = random.random() < self._breaks
        leave_after = random.randrange(1, EVENTS) if leave else None
        first_ip = random.choice(self._first_ips)
        take = attempt(first_ip, first_id, ends, leave_after, path=self._path)
        takes = [take]
        after = _last(take)
        while after and not take.done and len(takes) < ATTEMPTS:
            time.sleep(self._pause)
            if time.monotonic() >= ends:
                break
            ip = random.choice(self._ips)
            own_id = uuid.uuid4().hex
            take = attempt(ip, own_id, ends, None, first_id, after, self._path)
            takes.append(take)
            after = max(after, _last(take))
        return Stream(at, tuple(takes))

    def tally(self, mine: Callable[[Stream], bool] = lambda stream: True) -> Tally:
        """Return the counts of some streams."""
        streams = [stream for stream in self.streams if mine(stream)]
        again = [take for stream in streams for take in stream.takes[1:]]
        taken_up = [stream for stream in streams if len(stream.takes) > 1]
        went_on = [
            stream
            for stream in taken_up
            if any(take.events or take.done for take in stream.takes[1:])
        ]
        firsts = [s.takes[0].first for s in streams if s.takes[0].first is not None]
        return Tally(
            streams=len(streams),
            began=sum(stream.began for stream in streams),
            mixed=sum(len(stream.versions) > 1 for stream in streams),
            broken=sum(not stream.whole for stream in streams),
            taken_up=len(taken_up),
            went_on=len(went_on),
            first_p50=_p50(firsts),
            taken_up_p50=_p50([t.first for t in again if t.first is not None]),
        )


def attempt(
    ip: str,
    request_id: str,
    ends: float,
    leave_after: int | None,
    first_id: str = "",
    after: int = 0,
    path: str = STREAM_PATH,
) -> Take:
    """Read a stream from one entry host, or the rest of it after an event."""
    at = time.monotonic()
    headers = {
        "Host": "trees.example",
        "Authorization": f"Token {KEY}",
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(max(1, int((ends - at) * 1000))),
        "X-Token-Usage": "100,12",
    }
    if after:
        headers["Last-Event-Id"] = str(after)
    if first_id:
        headers["Resumes"] = first_id
    connection = http.client.HTTPConnection(ip, ENTRY_PORT, READ_TIMEOUT)
    events: list[tuple[int, str]] = []
    status, done, first = 0, False, None
    try:
        connection.request("POST", path, b"{}", headers)
        response = connection.getresponse()
        status = response.status
        lines = read_lines(response)
        while status == OK and (leave_after is None or len(events) < leave_after):
            line = next(lines, None)
            if line is None:
                done = True
                break
            if line.startswith(b"id: "):
                number = int(line[4:])
                version = next(lines, b"")[6:].decode().strip()
                first = first or time.monotonic() - at
                events.append((number, version))
    except (OSError, http.client.HTTPException, ValueError):
        done = False
    finally:
        connection.close()
    return Take(ip, after, status, tuple(events), done, first)


def read_lines(response: http.client.HTTPResponse) -> Iterator[bytes]:
    """Yield the lines of a body, a long one in parts; raise IncompleteRead.

    Callers must be faster than upstreams that send without end, and reading by line is
    slow.
    """
    rest = b""
    while data := response.read1(READ_BYTES):
        *lines, rest = (rest + data).split(b"\n")
        for line in lines:
            yield line + b"\n"
        if len(rest) > READ_BYTES:
            yield rest
            rest = b""
    if response.length:
        raise http.client.IncompleteRead(rest, response.length)
    if rest:
        yield rest


def asked_events(headers: Message) -> int:
    """Return how many events a request asks for: the second number of its usage."""
    count = headers.get("X-Token-Usage", "").partition(",")[2]
    return int(count) if count else EVENTS


def _last(take: Take) -> int:
    return take.events[-1][0] if take.events else 0


def _p50(values: list[float]) -> float:
    return sorted(values)[len(values) // 2] if values else 0.0


Way = Callable[[StreamFleet, float], Any]
"""Disturbs a fleet until a time of the monotonic clock."""


def leave_alone(fleet: StreamFleet, until: float) -> None:
    """Do nothing; callers break their streams off."""
    time.sleep(max(0.0, until - time.monotonic()))


def restart_in_turn(ips: tuple[str, ...], down: float = 0.5, up: float = 1.5) -> Way:
    """Return a way that kills hosts and starts them again, one after the other."""

    def way(fleet: StreamFleet, until: float) -> None:
        number = 0
        while time.monotonic() + down + up < until:
            process = fleet.process_by_ip[ips[number % len(ips)]]
            number += 1
            process.kill()
            time.sleep(down)
            process.start()
            time.sleep(up)
        leave_alone(fleet, until)

    return way


def restart_all(fleet: StreamFleet, until: float) -> None:
    """Kill every host at one moment, half-way, and start them again."""
    leave_alone(fleet, (time.monotonic() + until) / 2)
    fleet.restart_all()
    leave_alone(fleet, until)


def restart_entry_hosts(fleet: StreamFleet, until: float) -> None:
    """Kill all entry hosts at once and start them again, once in some seconds."""
    while time.monotonic() + DOWN_SECONDS + UP_SECONDS < until:
        time.sleep(UP_SECONDS)
        fleet.restart_entry_hosts(DOWN_SECONDS)
    leave_alone(fleet, until)


def release(seed: int) -> Way:
    """Return a way that moves to newer versions and kills all entry hosts meanwhile.

    Each version's engines start beside those of the one before, which leave then. When
    the hosts are killed, the earlier engines serve, leave or have gone, as drawn.
    """

    def way(fleet: StreamFleet, until: float) -> None:
        rng = random.Random(seed)
        number = 0
        while time.monotonic() + 3 * UP_SECONDS + DOWN_SECONDS < until:
            number += 1
            earlier = list(fleet.engines)
            places = range(number * ENGINES_OF_A_VERSION)[-ENGINES_OF_A_VERSION:]
            for place in places:
                fleet.add_engine(2 * ENGINES_OF_A_VERSION + place, f"n{number}")
            time.sleep(rng.uniform(0.3, UP_SECONDS))
            leave = threading.Thread(target=fleet.end_engines, args=(earlier,))
            leave.start()
            time.sleep(rng.uniform(0.0, LEAVE_SECONDS + 0.5))
            fleet.restart_entry_hosts(DOWN_SECONDS)
            leave.join()
            time.sleep(rng.uniform(0.5, UP_SECONDS))
        leave_alone(fleet, until)

    return way


def move_route(seed: int) -> Way:
    """Return a way that moves the route to the other service and kills all entry hosts.

    The fleet is a MovedRouteFleet. The time between the two is drawn.
    """

    def way(fleet: MovedRouteFleet, until: float) -> None:
        rng = random.Random(seed)
        services = itertools.cycle((OTHER_SERVICE, STREAM_SERVICE))
        while time.monotonic() + 2 * UP_SECONDS + DOWN_SECONDS < until:
            time.sleep(rng.uniform(0.5, UP_SECONDS))
            fleet.move_route(next(services))
            time.sleep(rng.uniform(0.0, 0.4))
            fleet.restart_entry_hosts(DOWN_SECONDS)
        leave_alone(fleet, until)

    return way


def freeze_in_turn(
    ips: tuple[str, ...], frozen: float = 1.5, awake: float = 1.0
) -> Way:
    """Return a way that stops hosts and lets them go on, one after the other."""

    def way(fleet: StreamFleet, until: float) -> None:
        number = 0
        while time.monotonic() + frozen + awake < until:
            process = fleet.process_by_ip[ips[number % len(ips)]]
            number += 1
            process.signal(signal.SIGSTOP)
            time.sleep(frozen)
            process.signal(signal.SIGCONT)
            time.sleep(awake)
        leave_alone(fleet, until)

    return way


def restart_pairs(fleet: StreamFleet, until: float) -> None:
    """Kill an entry host and a host of control at one moment, again and again."""
    number = 0
    while time.monotonic() + 2.5 < until:
        pair = [
            fleet.process_by_ip[fleet.entry_ips[number % len(fleet.entry_ips)]],
            fleet.process_by_ip[CONTROL_IPS[number % len(CONTROL_IPS)]],
        ]
        number += 1
        for process in pair:
            process.signal(signal.SIGKILL)
        for process in pair:
            process.kill()
        time.sleep(0.5)
        for process in pair:
            process.start()
        time.sleep(2.0)
    leave_alone(fleet, until)


def churn(seed: int) -> Way:
    """Return a way that draws losses of hosts and changes of engines from a seed.

    Engines end without a word, and others of any version start at their addresses.
    """

    def way(fleet: StreamFleet, until: float) -> None:
        rng = random.Random(seed)
        while time.monotonic() + 2.0 < until:
            draw = rng.random()
            if draw < 0.45:
                fleet.replace_engine(rng.choice(fleet.engines), rng.choice(VERSIONS))
            elif draw < 0.6:
                for engine in fleet.engines:
                    engine.breaks = rng.choice((0.0, 0.1, 0.3))
            elif draw < 0.9:
                ips = rng.choice((fleet.entry_ips, fleet.control_ips))
                down, up = rng.uniform(0.0, 1.0), rng.uniform(0.2, 1.0)
                once = restart_in_turn((rng.choice(ips),), down, up)
                once(fleet, time.monotonic() + down + up + 0.01)
            else:
                ips = rng.choice((fleet.entry_ips, fleet.control_ips))
                frozen = rng.uniform(0.2, 2.0)
                once = freeze_in_turn((rng.choice(ips),), frozen, 0.2)
                once(fleet, time.monotonic() + frozen + 0.21)
            time.sleep(rng.uniform(0.1, 0.6))
        leave_alone(fleet, until)

    return way


def cut_off_two(fleet: StreamFleet, until: float) -> None:
    """Cut two entry hosts off from control and the other hosts at half time."""
    leave_alone(fleet, (time.monotonic() + until) / 2)
    with fleet.cut(fleet.entry_ips[:2], SILENT, INTERNAL_PORT):
        leave_alone(fleet, until)


def end_old_version(fleet: StreamFleet, until: float) -> None:
    """End the engines of the old version at half time."""
    leave_alone(fleet, (time.monotonic() + until) / 2)
    for engine in fleet.engines:
        if engine.version == OLD:
            engine.close()
    leave_alone(fleet, until)


@contextmanager
def engines_that_break(fleet: StreamFleet, share: float) -> Any:
    """Let engines break off a share of their streams."""
    for engine in fleet.engines:
        engine.breaks = share
    try:
        yield
    finally:
        for engine in fleet.engines:
            engine.breaks = 0.0


def run(
    fleet: StreamFleet,
    way: Way,
    seconds: float = SECONDS,
    caller_breaks: float = BREAKS,
    engine_breaks: float = 0.0,
    callers: int = CALLERS,
    pause: float = ATTEMPT_PAUSE,
) -> Tally:
    """Read streams while a fleet is disturbed; return their counts."""
    with engines_that_break(fleet, engine_breaks):
        readers = StreamCallers(fleet.entry_ips, caller_breaks, callers, pause=pause)
        way(fleet, time.monotonic() + seconds)
        readers.stop()
    return readers.tally()


class Row(NamedTuple):
    """A row of the table: a way, and the shares of streams that break.

    pause is the time in seconds between two attempts of a caller.
    """

    name: str
    way: Way
    caller_breaks: float = BREAKS
    engine_breaks: float = 0.0
    old_slots: int = StreamEngine.slots
    new_slots: int = StreamEngine.slots
    callers: int = CALLERS
    pause: float = ATTEMPT_PAUSE


LONG_PAUSE = 1.0
"""Callers that wait so long try again when killed hosts have started."""

ROWS = (
    Row("callers break off", leave_alone),
    Row("engines break off", leave_alone, 0.0, 0.25),
    Row("entry hosts restart in turn", restart_in_turn(ENTRY_IPS)),
    Row("control hosts restart in turn", restart_in_turn(CONTROL_IPS)),
    Row("every host restarts at once", restart_all),
    Row("the old version ends", end_old_version),
    Row("the old version is full", leave_alone, old_slots=1),
    Row("both versions are full", leave_alone, old_slots=1, new_slots=1),
    Row(
        "both versions are overloaded",
        leave_alone,
        old_slots=1,
        new_slots=1,
        callers=40,
    ),
    Row(
        "the old version is overloaded",
        leave_alone,
        old_slots=1,
        new_slots=2,
        callers=40,
    ),
    Row("an entry and a control host restart at once", restart_pairs),
    Row("entry hosts freeze in turn", freeze_in_turn(ENTRY_IPS)),
    Row("control hosts freeze in turn", freeze_in_turn(CONTROL_IPS)),
    Row("two entry hosts are cut off", cut_off_two),
    Row(
        "all entry hosts restart at once",
        restart_entry_hosts,
        caller_breaks=0.0,
        pause=LONG_PAUSE,
    ),
    Row(
        "all entry hosts restart at once beside releases",
        release(1),
        caller_breaks=0.0,
        pause=LONG_PAUSE,
    ),
)


def print_row(name: str, tally: Any) -> None:
    """Print a row of a table: the fields of its counts."""
    figures = " ".join(
        f"{field} {value:.3f}" if isinstance(value, float) else f"{field} {value}"
        for field, value in tally._asdict().items()
    )
    print(f"{name}: {figures}", flush=True)


def main() -> None:
    """Print one line for each row of the table, or for those named.

    With two numbers, play a random way of that seed and so many seconds instead.
    """
    rows = ROWS
    seconds = SECONDS
    if sys.argv[1:2] and sys.argv[1].isdigit():
        seconds = float(sys.argv[2])
        rows = (Row(f"random way {sys.argv[1]}", churn(int(sys.argv[1]))),)
    elif sys.argv[1:]:
        rows = tuple(row for row in ROWS if row.name in sys.argv[1:])
    for row in rows:
        with tempfile.TemporaryDirectory() as folder:
            with StreamFleet(Path(folder)) as fleet:
                fleet.add_versions(row.old_slots, row.new_slots)
                tally = run(
                    fleet,
                    row.way,
                    seconds,
                    caller_breaks=row.caller_breaks,
                    engine_breaks=row.engine_breaks,
                    callers=row.callers,
                    pause=row.pause,
                )
        print_row(row.name, tally)


if __name__ == "__main__":
    main()
