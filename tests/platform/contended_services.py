"""Plain services in a process of their own, whose calls share the speed of a machine.

Each has an address of its own, announces itself, and appends a JSON line for each call
that it runs to a file.
"""

import argparse
import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any, NamedTuple

from tests.platform.processes import ask

PORT = 8486
HEALTH_PATH = "/healthz"
BEAT_SECONDS = 0.3
BODY = b"tile"
WORK_SECONDS = 0.3
SLOTS = 6
CONTENDED_FROM = 3
"""From so many calls on the work takes the square of half of their number as long."""

RATIOS = (0.4, 1.0, 1.0, 1.0, 1.0, 2.5)
SWAP_SECONDS = 8.0
CONTENDED, UNEQUAL, EVEN = "contended", "unequal", "even"
CASES = (CONTENDED, UNEQUAL, EVEN)


class Arguments(NamedTuple):
    """The command line; begin is when the load begins, as Unix time."""

    case: str
    begin: float
    ips: tuple[str, ...]
    control_ips: tuple[str, ...]
    service: str
    runs: Path

    def to_list(self) -> list[str]:
        """Return the arguments as they stand on the command line."""
        return [
            f"--case={self.case}",
            f"--begin={self.begin}",
            f"--ips={','.join(self.ips)}",
            f"--control-ips={','.join(self.control_ips)}",
            f"--service={self.service}",
            f"--runs={self.runs}",
        ]


def slowdown(case: str, index: int, in_flight: int, elapsed: float) -> float:
    """Return by which factor work takes longer at a service of a case."""
    if case == CONTENDED and index < 3 and in_flight >= CONTENDED_FROM:
        return (in_flight / 2) ** 2
    if case == UNEQUAL:
        swapped = len(RATIOS) - 1 - index if index in (0, len(RATIOS) - 1) else index
        return RATIOS[index if elapsed < SWAP_SECONDS else swapped]
    return 1.0


def best_throughput(case: str) -> float:
    """Return the calls a second of all services, each at its best concurrency."""
    count = len(RATIOS)
    if case == CONTENDED:
        return (3 * (CONTENDED_FROM - 1) + (count - 3) * SLOTS) / WORK_SECONDS
    if case == UNEQUAL:
        return sum(SLOTS / WORK_SECONDS / ratio for ratio in RATIOS)
    return count * SLOTS / WORK_SECONDS


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that break."""


class Service:
    """One plain service; its calls wait for a slot and then progress together."""

    def __init__(self, arguments: Arguments, index: int, runs: Any) -> None:
        self._arguments = arguments
        self._index = index
        self._runs = runs
        self._ip = arguments.ips[index]
        self._slots = threading.Semaphore(SLOTS)
        self._changed = threading.Condition()
        self._running = 0
        self._waiting = 0
        self._progress = 0.0
        self._progress_at = time.monotonic()
        service = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self) -> None:
                service.respond(self)

            def do_POST(self) -> None:
                service.respond(self)

            def log_message(self, format: str, *args: Any) -> None:
                pass

        self._server = _Server((self._ip, PORT), Handler)
        for target in (self._server.serve_forever, self._beat):
            threading.Thread(target=target, daemon=True).start()

    def respond(self, handler: BaseHTTPRequestHandler) -> None:
        """Respond to a call after its work, or to a health check."""
        handler.rfile.read(int(handler.headers.get("Content-Length", 0)))
        headers = {"X-Instance-Id": f"s-{self._index}"}
        body = b""
        if handler.path != HEALTH_PATH:
            request_id = handler.headers["X-Attempt-Id"]
            with self._changed:
                self._waiting += 1
                self._record(request_id)
            with self._slots:
                self._work()
            headers = {
                "X-Attempt-Id": request_id,
                "X-Engine-Signature": "signed",
                "X-Engine-Load": f"{self._running},{self._waiting},{SLOTS}",
            }
            body = BODY
        handler.send_response(200)
        for name, value in headers.items():
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def _record(self, request_id: str) -> None:
        line = {
            "service": self._index,
            "request": request_id,
            "in_flight": self._running + self._waiting,
            "at": time.time() - self._arguments.begin,
        }
        self._runs.write(json.dumps(line) + "\n")
        self._runs.flush()

    def _work(self) -> None:
        """Wait until WORK_SECONDS of progress have been made."""
        with self._changed:
            self._advance()
            self._waiting -= 1
            self._running += 1
            end = self._progress + WORK_SECONDS
            self._changed.notify_all()
            while self._progress < end - 1e-4:
                left = (end - self._progress) * self._slowdown()
                self._changed.wait(min(left, 0.1))
                self._advance()
            self._running -= 1
            self._changed.notify_all()

    def _slowdown(self) -> float:
        elapsed = time.time() - self._arguments.begin
        return slowdown(self._arguments.case, self._index, self._running, elapsed)

    def _advance(self) -> None:
        now = time.monotonic()
        self._progress += (now - self._progress_at) / self._slowdown()
        self._progress_at = now

    def _beat(self) -> None:
        body = {
            "service": self._arguments.service,
            "address": f"{self._ip}:{PORT}",
            "zone": "bole",
            "batch_slots": SLOTS,
            "cold_remaining_ms": 0,
            "state": "ready",
            "version": "1",
        }
        sequence = 0
        while True:
            sequence += 1
            path = f"/-/instances/s-{self._index}"
            for ip in self._arguments.control_ips:
                if ask(ip, "PUT", path, body | {"seq": sequence})[0] == 200:
                    break
            time.sleep(BEAT_SECONDS)


def parse_arguments(words: list[str]) -> Arguments:
    """Return the arguments of a command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--case", required=True, choices=CASES)
    parser.add_argument("--begin", required=True, type=float)
    for name in ("ips", "control-ips", "service"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--runs", required=True, type=Path)
    found = vars(parser.parse_args(words))
    for name in ("ips", "control_ips"):
        found[name] = tuple(found[name].split(","))
    return Arguments(**found)


def main() -> None:
    """Run the services until the process is killed."""
    arguments = parse_arguments(sys.argv[1:])
    with arguments.runs.open("a") as runs:
        services = [
            Service(arguments, index, runs) for index in range(len(arguments.ips))
        ]
        threading.Event().wait()
        del services


if __name__ == "__main__":
    main()
