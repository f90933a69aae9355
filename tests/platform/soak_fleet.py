"""The hosts and engines of a soak."""

import http.server
import random
import shutil
import time
import uuid
from collections.abc import Callable
from email.message import Message
from pathlib import Path
from typing import Any, Self

from tests.platform.builders import KEY, document, route
from tests.platform.crashing_parts import OTHER_KEY, CrashingEngine, CrashingFleet
from tests.platform.endless_sender import PAUSE_POLL_SECONDS, Sender
from tests.platform.processes import HEALTH_PATH, SERVICE, SUBNET, Engine
from tests.platform.soak_endless import OrderedEngine
from tests.platform.stream_versions import (
    DEADLINE_MS,
    OLD,
    OTHER_SERVICE,
    STREAM_SERVICE,
    OtherEngine,
    asked_events,
)
from tests.platform.versions_out_of_step import REPORT_PATH, BornEngine

STREAM_ENGINES = 6
PLAIN_ENGINES = 4
OTHER_ENGINES = 2
LATE_PING_SECONDS = 1.0
UNRUN_PATHS = (HEALTH_PATH, REPORT_PATH)
OTHER_VERSION = "other"
"""No engine of the first service has this version."""

FIRST_PLAIN_ADDRESS = 140
"""Last part of the address of the first plain engine."""

FIRST_OTHER_ADDRESS = 150
"""The same of the first engine of the service to which a route moves."""

FIRST_VERSION = 100
STREAMS, TILES, PINS, EXTRA = "/trees/", "/tiles/", "/pins/", "/extra/"
MOVING = "/moving/"
"""Path of the streams whose route moves between two services."""

STREAM_ATTEMPTS = 3
CALL_ATTEMPTS = 2
LIMIT_HEADER = "Server-Limit"
FULL, MISDIRECTED = "503 Service Unavailable", "421 Misdirected Request"
LIMIT_PER_SECOND = 20.0
CALL_TIMEOUT_MS = 4000
OBJECTIVE_MS = 1000
MAX_CONNECTIONS = 500
KV_TOKENS = 1_000_000
MAX_BODY_BYTES = 1_000_000
LONG_REQUEST_BYTES = 500_000


class PausableWriter:
    """Writes to a connection, but waits while its engine is paused."""

    def __init__(self, file: Any, wait: Callable[[], None]) -> None:
        self._file = file
        self._wait = wait

    def write(self, data: bytes) -> Any:
        """Write as soon as the engine isn't paused."""
        self._wait()
        return self._file.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)


class SoakEngine(OrderedEngine, BornEngine, CrashingEngine):
    """An engine of streams with few slots, so that a few requests fill all of them.

    While it is paused, it is to others like a process that is: the kernel accepts
    connections, and nothing is run, written or announced.
    """

    slots = 3

    def respond(self, handler: http.server.BaseHTTPRequestHandler) -> None:
        """Respond like other engines, and keep which streams broke off as it ended."""
        if not isinstance(handler.wfile, PausableWriter):
            handler.wfile = PausableWriter(  # type: ignore[assignment]
                handler.wfile, self._wait_while_paused
            )
        self._wait_while_paused()
        try:
            super().respond(handler)
        finally:
            if self.ended:
                self.broken_off.add(handler.headers.get("X-Attempt-Id", ""))

    def respond_soundly(self, handler: http.server.BaseHTTPRequestHandler) -> None:
        """Respond like other engines, or send without end if there are orders to."""
        headers = handler.headers
        expected = headers.get("X-Expected-Instance", self.name)
        is_run = handler.path not in UNRUN_PATHS and expected == self.name
        if is_run and self.orders is not None:
            self.send_on(handler, self.orders)
        elif is_run and _is_beyond_its_end(headers):
            self.record_request(headers["X-Attempt-Id"])
            self.break_off(handler)
        else:
            super().respond_soundly(handler)

    def _wait_while_paused(self) -> None:
        while self.paused and not self.ended:
            time.sleep(PAUSE_POLL_SECONDS)

    def may_announce(self) -> bool:
        """Whether it is not paused, and its first announcement is due."""
        return not self.paused and super().may_announce()


def _is_beyond_its_end(headers: Message) -> bool:
    """Return whether a request resumes a stream behind the last event it asks for."""
    return int(headers.get("Last-Event-Id", 0)) > asked_events(headers)


class PlainEngine(OrderedEngine):
    """An engine of calls; slow is the time in seconds that each takes longer.

    It refuses a share of the requests as not run, and sends each of these responses a
    second time when the next request has arrived on its connection. After a share of
    all requests, cuts, the beginning of a refusal is sent there. With cuts_uploads, it
    responds to long requests at once, without a length, and breaks off.
    """

    slots = 2
    slow = 0.0
    limit = 0.0
    refuses = 0.0
    cuts_uploads = False
    cuts = 0.0

    def respond(self, handler: http.server.BaseHTTPRequestHandler) -> None:
        """Respond later than other engines, and name a limit of requests."""
        if self.ended:
            handler.close_connection = True
            return
        copy = vars(handler).pop("late_copy", b"")
        handler.wfile.write(copy)
        if handler.path != HEALTH_PATH and random.random() < self.cuts:
            sent = refusal(handler, MISDIRECTED)
            cut = random.randrange(1, sent.index(b"X-Attempt-Id"))
            handler.late_copy = sent[:cut]  # type: ignore[attr-defined]
        if handler.path != HEALTH_PATH and random.random() < self.refuses:
            handler.late_copy = refuse(handler)  # type: ignore[attr-defined]
            return
        if self.orders is not None and handler.path != HEALTH_PATH:
            self.send_on(handler, self.orders)
            return
        length = int(handler.headers.get("Content-Length", 0))
        if self.cuts_uploads and length >= LONG_REQUEST_BYTES:
            self.record_request(handler.headers["X-Attempt-Id"])
            cut_upload(handler)
            return
        time.sleep(self.slow)
        if self.limit:
            send = handler.end_headers

            def end_headers() -> None:
                handler.send_header(LIMIT_HEADER, f"{self.limit:g}")
                send()

            handler.end_headers = end_headers  # type: ignore[method-assign]
        try:
            super().respond(handler)
        finally:
            handler.__dict__.pop("end_headers", None)


def cut_upload(handler: http.server.BaseHTTPRequestHandler) -> None:
    """Send a part of a response that ends with its connection, which is closed then.

    The request is left unread: its rest is answered with a reset.
    """
    lines = (
        "HTTP/1.1 200 OK",
        f"X-Attempt-Id: {handler.headers['X-Attempt-Id']}",
        "X-Engine-Signature: signed",
    )
    handler.wfile.write("\r\n".join(lines).encode() + b"\r\n\r\nti")
    handler.close_connection = True


def refuse(handler: http.server.BaseHTTPRequestHandler) -> bytes:
    """Refuse a request as not run; return the response."""
    handler.rfile.read(int(handler.headers.get("Content-Length", 0)))
    response = refusal(handler, FULL)
    handler.wfile.write(response)
    return response


def refusal(handler: http.server.BaseHTTPRequestHandler, status: str) -> bytes:
    """Return a response that states that a request has not run."""
    lines = (
        f"HTTP/1.1 {status}",
        "X-Not-Executed: 1",
        f"X-Attempt-Id: {handler.headers['X-Attempt-Id']}",
        "Content-Length: 0",
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class SoakFleet(CrashingFleet):
    """Hosts of control, entry hosts, engines of streams and engines of calls."""

    engine_class = SoakEngine

    def __init__(self, folder: Path, entry_ips: tuple[str, ...], tree: Path) -> None:
        super().__init__(folder, entry_ips=entry_ips)
        self.tree = tree
        self.version = FIRST_VERSION
        self.moved = False
        self.plain: list[PlainEngine] = []
        self.all_engines: list[Engine] = []
        self.stream_engines: list[SoakEngine] = []
        self._configuration = configuration(self.version, extra=False)

    def __enter__(self) -> Self:
        self._sender = Sender()
        self._stack.callback(self._sender.close)
        return super().__enter__()

    def add_all_engines(self) -> None:
        """Start the engines of both services and wait until each stream one serves."""
        self.add_engines(STREAM_ENGINES)
        self.plain = [self._add_plain(number) for number in range(PLAIN_ENGINES)]
        for number in range(OTHER_ENGINES):
            name = f"o-{number}-{uuid.uuid4().hex[:6]}"
            ip = f"{SUBNET}.{FIRST_OTHER_ADDRESS + number}"
            self.own(OtherEngine(name, ip, OTHER_VERSION, 0.0, OtherEngine.slots))

    def _add_plain(self, number: int) -> PlainEngine:
        name = f"p-{number}-{uuid.uuid4().hex[:6]}"
        ip = f"{SUBNET}.{FIRST_PLAIN_ADDRESS + number}"
        engine = PlainEngine(name, ip, OLD, 0.0)
        self.own(engine)
        return engine

    def replace_ended_plain(self) -> None:
        """Start an engine of calls in the place of each that has ended."""
        for number, engine in enumerate(self.plain):
            if engine.ended:
                self.plain[number] = self._add_plain(number)

    def own(self, engine: Engine) -> None:
        """Close an engine on exit, and keep what it saw."""
        super().own(engine)
        self.all_engines.append(engine)
        if isinstance(engine, OrderedEngine):
            engine.sender = self._sender
        if isinstance(engine, SoakEngine):
            self.stream_engines.append(engine)

    def end_if_serving(self, engine: CrashingEngine) -> bool:
        """End an engine, which is replaced later; return False if it has ended."""
        with self._crash_lock:
            if engine.ended or engine not in self.engines:
                return False
            self.end_engine(engine)
            return True

    def replace_at_once(
        self, engine: CrashingEngine, version: str, name: str = ""
    ) -> bool:
        """End an engine and start one of a version in its place.

        It has a new name if none is given, and otherwise announces itself late. Return
        False if the engine has ended.
        """
        with self._crash_lock:
            if engine.ended or engine not in self.engines:
                return False
            self.engines.remove(engine)
        engine.end()
        made = self.engine_class(self, engine.number, name)
        made.version = version
        if name:
            made.announce_later(LATE_PING_SECONDS)
        self.own(made)
        self.engines.append(made)
        return True

    def lose_disk(self, ip: str, seconds: float) -> None:
        """Kill a host of control, and start it later with an empty data folder."""
        process = self.process_by_ip[ip]
        process.kill()
        shutil.rmtree(self._data_folder(ip))
        self._data_folder(ip).mkdir()
        self._settings_path(ip).write_text(self._settings(ip, bootstrap=False))
        time.sleep(seconds)
        process.start()

    @property
    def ordered_engines(self) -> list[OrderedEngine]:
        """All engines, also those that have ended."""
        return [*self.stream_engines, *self.plain]

    @property
    def processes_left(self) -> list[str]:
        """The hosts whose process has not ended."""
        return [
            ip
            for ip, process in self.process_by_ip.items()
            if process.exit_code() is None
        ]


def configuration(version: int, extra: bool, moved: bool = False) -> dict[str, Any]:
    """Return a configuration.

    extra adds a route that no caller uses; moved lets one lead to the other service.
    """
    streams = {
        "timeout_ms": DEADLINE_MS,
        "target_latency_ms": OBJECTIVE_MS,
        "max_attempts": STREAM_ATTEMPTS,
    }
    calls = {
        "service": SERVICE,
        "max_attempts": CALL_ATTEMPTS,
        "timeout_ms": CALL_TIMEOUT_MS,
    }
    routes = [
        route(name="r-1", path_prefix=STREAMS, **streams),
        route(
            name="r-4",
            path_prefix=MOVING,
            service=OTHER_SERVICE if moved else STREAM_SERVICE,
            **streams,
        ),
        route(name="r-2", path_prefix=TILES, route_kind="idempotent", **calls),
        route(name="r-3", path_prefix=PINS, route_kind="non_idempotent", **calls),
    ]
    if extra:
        routes.append(
            route(name="r-9", path_prefix=EXTRA, route_kind="idempotent", **calls)
        )
    return document(
        *routes,
        version=version,
        services=[
            *[
                {
                    "name": name,
                    "max_connections": MAX_CONNECTIONS,
                    "engine_id": {"kv_capacity": KV_TOKENS},
                }
                for name in (STREAM_SERVICE, OTHER_SERVICE)
            ],
            {"name": SERVICE, "max_connections": MAX_CONNECTIONS},
        ],
        limits={"max_body_bytes": MAX_BODY_BYTES},
        tenants=[
            {"name": "foresters", "api_keys": [KEY], "priority": 2},
            {"name": "surveyors", "api_keys": [OTHER_KEY], "priority": 2},
        ],
    )
