"""An engine that is a process of its own, so that signals can pause it.

It announces itself, serves streams of numbered events and calls, and writes what it
runs to a file of JSON lines. SIGTERM makes it leave: it announces that, finishes what
it runs and ends.
"""

import argparse
import http.client
import json
import select
import signal
import socket
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any, NamedTuple

CONTROL_PORT = 8229
BACKLOG = 256
"""Connections that the kernel accepts while the process is paused."""

HEALTH_PATH = "/healthz"
STREAM_PREFIXES = ("/trees/", "/seeds/")
BEAT_SECONDS = 0.3
ANNOUNCE_TIMEOUT = 1.0
LEAVE_SECONDS = 10.0
"""Longest time that a leaving engine works on what it runs."""

POLL_SECONDS = 0.02
FIRST_SECONDS = 0.03
TOKENS_PER_SECOND = 4000.0
"""Tokens of a prompt that are read in a second while nothing else runs."""

SLOWED_BY = 0.1
"""How much longer the prompt takes for each other run, as a share."""

EVENT_SECONDS = 0.05
CALL_SECONDS = 0.05
BODY = b"tile"
OK, MISDIRECTED, UNAVAILABLE = 200, 421, 503
WHOLE, CUT = "whole", "cut"


class Work(NamedTuple):
    """What a request asks for: tokens of its prompt and events of its answer."""

    tokens: int
    events: int


class Arguments(NamedTuple):
    """The command line of an engine; queue is how many requests may wait for a slot."""

    name: str
    ip: str
    port: int
    service: str
    slots: int
    queue: int
    control_ips: tuple[str, ...]
    runs: Path

    def to_list(self) -> list[str]:
        """Return the arguments as they stand on the command line."""
        return [
            f"--name={self.name}",
            f"--ip={self.ip}",
            f"--port={self.port}",
            f"--service={self.service}",
            f"--slots={self.slots}",
            f"--queue={self.queue}",
            f"--control-ips={','.join(self.control_ips)}",
            f"--runs={self.runs}",
        ]


def parse_arguments(words: list[str]) -> Arguments:
    """Return the arguments of a command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("name", "ip", "service", "control-ips"):
        parser.add_argument(f"--{name}", required=True)
    for name in ("port", "slots", "queue"):
        parser.add_argument(f"--{name}", required=True, type=int)
    parser.add_argument("--runs", required=True, type=Path)
    found = vars(parser.parse_args(words))
    found["control_ips"] = tuple(found["control_ips"].split(","))
    return Arguments(**found)


class Slots:
    """The slots of an engine, and a short queue before them."""

    def __init__(self, slots: int, queue: int) -> None:
        self._slots = slots
        self._queue = queue
        self._waiting = 0
        self._condition = threading.Condition()
        self.running = 0

    def take(self, connection: socket.socket) -> bool | None:
        """Take a slot, as soon as one is free; return False if the queue is full.

        Return None if the host closes the connection before.
        """
        with self._condition:
            if self.running >= self._slots and self._waiting >= self._queue:
                return False
            self._waiting += 1
            try:
                while self.running >= self._slots:
                    self._condition.wait(POLL_SECONDS)
                    if is_closed(connection):
                        return None
            finally:
                self._waiting -= 1
            self.running += 1
            return True

    def give_back(self) -> None:
        """Give a slot back."""
        with self._condition:
            self.running -= 1
            self._condition.notify()


class Runs:
    """The file of what an engine ran; times are those of the machine's steady clock."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("a", buffering=1)
        self._lock = threading.Lock()

    def record(self, request_id: str, what: str) -> None:
        """Record that a request was started, or how its run ended."""
        line = {"request": request_id, "what": what, "at": time.monotonic()}
        with self._lock:
            self._file.write(json.dumps(line) + "\n")


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = BACKLOG

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that break: hosts are killed on purpose."""


class EngineProcess:
    """Serves requests and announces itself until it is told to leave."""

    def __init__(self, arguments: Arguments) -> None:
        self._arguments = arguments
        self._slots = Slots(arguments.slots, arguments.queue)
        self._runs = Runs(arguments.runs)
        self._sequence = 0
        self._leaving = threading.Event()
        engine = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            wbufsize = -1

            def do_GET(self) -> None:
                engine.respond(self)

            def do_POST(self) -> None:
                engine.respond(self)

            def log_message(self, format: str, *args: Any) -> None:
                pass

        self._server = _Server((arguments.ip, arguments.port), Handler)

    def run(self) -> None:
        """Serve until the engine has left."""
        signal.signal(signal.SIGTERM, lambda *_: self._leaving.set())
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        while not self._leaving.wait(BEAT_SECONDS):
            self._announce("ready")
        ends = time.monotonic() + LEAVE_SECONDS
        while self._slots.running and time.monotonic() < ends:
            self._announce("draining")
            time.sleep(BEAT_SECONDS)
        self._tell("DELETE", {})

    def respond(self, handler: BaseHTTPRequestHandler) -> None:
        """Respond to a request as engines of the platform do."""
        if handler.path == HEALTH_PATH:
            self._refuse(handler, OK)
            return
        headers = handler.headers
        handler.rfile.read(int(headers.get("Content-Length", 0)))
        if headers.get("X-Expected-Instance", self._arguments.name) != (
            self._arguments.name
        ):
            self._refuse(handler, MISDIRECTED)
            return
        taken = not self._leaving.is_set() and self._slots.take(handler.connection)
        if taken is None:
            handler.close_connection = True
        elif not taken:
            self._refuse(handler, UNAVAILABLE)
        else:
            with self._running(headers["X-Attempt-Id"]):
                self._serve(handler)

    @contextmanager
    def _running(self, request_id: str) -> Iterator[None]:
        """Record a run, and whether it came to its end."""
        self._runs.record(request_id, "start")
        end = CUT
        try:
            yield
            end = WHOLE
        except ConnectionError:
            pass
        finally:
            self._runs.record(request_id, end)
            self._slots.give_back()

    def _serve(self, handler: BaseHTTPRequestHandler) -> None:
        work = _work(handler)
        self._read_prompt(handler, work.tokens)
        if handler.path.startswith(STREAM_PREFIXES):
            self._stream(handler, work.events)
            return
        _pause(handler, CALL_SECONDS)
        self._begin(handler, OK)
        handler.send_header("Content-Length", str(len(BODY)))
        handler.end_headers()
        handler.wfile.write(BODY)
        handler.wfile.flush()

    def _read_prompt(self, handler: BaseHTTPRequestHandler, tokens: int) -> None:
        others = self._slots.running - 1
        seconds = tokens / TOKENS_PER_SECOND * (1 + SLOWED_BY * others)
        _pause(handler, FIRST_SECONDS + seconds)

    def _stream(self, handler: BaseHTTPRequestHandler, events: int) -> None:
        after = int(handler.headers.get("Last-Event-Id", 0))
        self._begin(handler, OK)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for number in range(after + 1, events + 1):
            event = f"id: {number}\ndata: {self._arguments.name}\n\n".encode()
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            handler.wfile.flush()
            _pause(handler, EVENT_SECONDS)
        handler.wfile.write(b"0\r\n\r\n")
        handler.wfile.flush()

    def _begin(self, handler: BaseHTTPRequestHandler, status: int) -> None:
        handler.send_response(status)
        request_id = handler.headers.get("X-Attempt-Id")
        if request_id:
            handler.send_header("X-Attempt-Id", request_id)
        handler.send_header("X-Instance-Id", self._arguments.name)
        handler.send_header("X-Engine-Signature", "signed")

    def _refuse(self, handler: BaseHTTPRequestHandler, status: int) -> None:
        """Send a response without a body; nothing was run."""
        self._begin(handler, status)
        if status == UNAVAILABLE:
            handler.send_header("X-Not-Executed", "1")
        handler.send_header("Content-Length", "0")
        handler.end_headers()
        handler.wfile.flush()

    def _announce(self, state: str) -> None:
        self._sequence += 1
        body = {
            "service": self._arguments.service,
            "address": f"{self._arguments.ip}:{self._arguments.port}",
            "zone": "bole",
            "batch_slots": self._arguments.slots,
            "cold_remaining_ms": 0,
            "state": state,
            "version": "v1",
            "seq": self._sequence,
        }
        self._tell("PUT", body)

    def _tell(self, method: str, body: dict[str, Any]) -> None:
        """Tell the first host of control that answers."""
        for ip in self._arguments.control_ips:
            connection = http.client.HTTPConnection(ip, CONTROL_PORT, ANNOUNCE_TIMEOUT)
            path = f"/-/instances/{self._arguments.name}"
            try:
                connection.request(method, path, json.dumps(body) if body else None)
                if connection.getresponse().status == OK:
                    return
            except (OSError, http.client.HTTPException):
                continue
            finally:
                connection.close()


def is_closed(connection: socket.socket) -> bool:
    """Return whether the other side has closed a connection."""
    if not select.select([connection], [], [], 0)[0]:
        return False
    try:
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _pause(handler: BaseHTTPRequestHandler, seconds: float) -> None:
    """Wait; raise ConnectionError once the host has closed the connection."""
    ends = time.monotonic() + seconds
    while True:
        if is_closed(handler.connection):
            raise ConnectionAbortedError("the host has closed the connection")
        left = ends - time.monotonic()
        if left <= 0:
            return
        time.sleep(min(left, 2 * POLL_SECONDS))


def _work(handler: BaseHTTPRequestHandler) -> Work:
    tokens, _, events = handler.headers.get("X-Token-Usage", "1,1").partition(",")
    return Work(int(tokens), int(events))


def main() -> None:
    """Run the engine of the command line."""
    EngineProcess(parse_arguments(sys.argv[1:])).run()


if __name__ == "__main__":
    main()
