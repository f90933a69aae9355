"""A fleet of which one entry host is told to stop while callers go on sending to it."""

import signal
import threading
import time
import uuid
from collections import Counter
from collections.abc import Sequence
from enum import StrEnum
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from socket import create_connection, socket
from typing import Any, NamedTuple

from tests.platform.builders import KEY, chunk, event
from tests.platform.engine_process import BODY, is_closed
from tests.platform.processes import (
    CONTROL_IPS,
    ENTRY_PORT,
    SUBNET,
    Engine,
    Fleet,
    Process,
)
from tests.platform.silent_callers import Kind
from tests.platform.silent_fleet import FIRST_VERSION, SERVICE, configuration

ENTRY_IPS = (f"{SUBNET}.9", f"{SUBNET}.10")
STOPPING_IP, OTHER_IP = ENTRY_IPS
GRACE_SECONDS = 8.0
SEND_SECONDS = 3.0
"""What is sent up to then after the signal may be cut by the end of the grace."""

LAST_SIXTH = GRACE_SECONDS * 5 / 6
SLACK_SECONDS = 0.2
DEADLINE_MS = 11_500
WORK_HEADER = "X-Work-Seconds"
POLL_SECONDS = 0.02
EVENT_SECONDS = 0.1
END_OF_HEAD = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
READ_BYTES = 64 * 1024
OK, UNAVAILABLE = 200, 503


class Run(NamedTuple):
    """A run of a request at the engine; whole states whether its end was sent."""

    started: float
    ended: float
    whole: bool


class TimedEngine(Engine):
    """An engine that works on each request for as long as that says."""

    service = SERVICE

    def __init__(self, name: str, ip: str, slots: int) -> None:
        self.slots = slots
        self.runs_by_request: dict[str, list[Run]] = {}
        super().__init__(name, ip, "v1", 0.0)

    def respond(self, handler: BaseHTTPRequestHandler) -> None:
        """Respond to a request, or stop once the host has closed the connection."""
        if handler.path == "/healthz":
            self.respond_to_check(handler)
            return
        handler.rfile.read(int(handler.headers.get("Content-Length", 0)))
        runs = self.runs_by_request.setdefault(handler.headers["X-Attempt-Id"], [])
        started = time.monotonic()
        runs.append(Run(started, float("inf"), False))
        whole = False
        try:
            self._work(handler, started + float(handler.headers[WORK_HEADER]))
            whole = True
        except ConnectionError:
            handler.close_connection = True
        finally:
            runs[-1] = Run(started, time.monotonic(), whole)

    def _work(self, handler: BaseHTTPRequestHandler, ends: float) -> None:
        streams = Kind("/" + handler.path.split("/")[1] + "/").streams
        handler.send_response(OK)
        handler.send_header("X-Attempt-Id", handler.headers["X-Attempt-Id"])
        handler.send_header("X-Engine-Signature", "signed")
        if not streams:
            _wait(handler, ends)
            handler.send_header("Content-Length", str(len(BODY)))
            handler.end_headers()
            handler.wfile.write(BODY)
            return
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        number = int(handler.headers.get("Last-Event-Id", 0)) + 1
        while True:
            handler.wfile.write(chunk(event(number)))
            handler.wfile.flush()
            number += 1
            now = time.monotonic()
            if now >= ends:
                break
            _wait(handler, min(ends, now + EVENT_SECONDS))
        handler.wfile.write(LAST_CHUNK)
        handler.wfile.flush()


def _wait(handler: BaseHTTPRequestHandler, until: float) -> None:
    while (left := until - time.monotonic()) > 0:
        if is_closed(handler.connection):
            raise ConnectionAbortedError("the host has closed the connection")
        time.sleep(min(left, POLL_SECONDS))


class StopFleet(Fleet):
    """Control hosts, two entry hosts and one engine with a number of slots."""

    contracts = "base,config,stream"

    def __init__(self, folder: Path, slots: int) -> None:
        super().__init__(folder, CONTROL_IPS, ENTRY_IPS, configuration(FIRST_VERSION))
        self.engine_of_fleet = TimedEngine("e-0", f"{SUBNET}.100", slots)
        self.own(self.engine_of_fleet)

    def stop_one(self) -> tuple[Process, float]:
        """Tell an entry host to stop; return its process and the moment."""
        process = self.process_by_ip[STOPPING_IP]
        at = time.monotonic()
        process.signal(signal.SIGTERM)
        return process, at

    def until_served(self) -> None:
        """Wait until all entry hosts serve requests."""
        for ip in ENTRY_IPS:
            self.until(lambda ip=ip: self._is_served(ip))

    def _is_served(self, ip: str) -> bool:
        call = Call(Kind.IDEMPOTENT, 0.0, 0.0, 0.0, 0.0, ip)
        return ask(call, time.monotonic()).end is End.WHOLE


class Call(NamedTuple):
    """A request; times are seconds after the signal.

    The connection is opened, the head sent and the body ended at these times. events
    is how many the answer has if it is a stream.
    """

    kind: Kind
    work: float
    opened: float
    sent: float
    body_ended: float
    ip: str = STOPPING_IP
    deadline_ms: int = DEADLINE_MS
    events: int = 40


class End(StrEnum):
    """What became of a request."""

    WHOLE = "answered whole"
    REFUSED = "refused as not run"
    FAILED = "failed with an answer"
    CUT = "cut without a whole answer"
    NOT_TAKEN = "no connection"


class Answer(NamedTuple):
    """The answer to a call; times are those of the machine's steady clock."""

    call: Call
    request_id: str
    sent: float
    ended: float
    status: int
    end: End
    closes: bool


def ask(call: Call, began: float) -> Answer:
    """Send a request at its times after began and read its answer."""
    request_id = uuid.uuid4().hex
    _sleep_until(began + call.opened)
    data, sent = b"", float("inf")
    try:
        sock = create_connection((call.ip, ENTRY_PORT), 1.0)
    except OSError:
        return _answer(call, request_id, sent, data, connected=False)
    with sock:
        sock.settimeout(call.deadline_ms / 1000 + 1.0)
        try:
            _sleep_until(began + call.sent)
            sock.sendall(_head(call, request_id) + b"{")
            _sleep_until(began + call.body_ended)
            sock.sendall(b"}")
            sent = time.monotonic()
            data = _read(sock)
        except OSError:
            pass
    return _answer(call, request_id, sent, data, connected=True)


def _read(sock: socket) -> bytes:
    """Return an answer up to its end, or what came before the connection ended."""
    data = b""
    while not _is_complete(data):
        try:
            part = sock.recv(READ_BYTES)
        except OSError:
            break
        if not part:
            break
        data += part
    return data


def _is_complete(data: bytes) -> bool:
    head, found, body = data.partition(END_OF_HEAD)
    if not found:
        return False
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.partition(b":")[2])
    return body.endswith(LAST_CHUNK)


def _head(call: Call, request_id: str) -> bytes:
    lines = [
        f"POST {call.kind}1 HTTP/1.1",
        "Host: trees.example",
        f"X-Attempt-Id: {request_id}",
        f"X-Deadline-Ms: {call.deadline_ms}",
        f"Authorization: Token {KEY}",
        f"X-Token-Usage: 50,{call.events}",
        f"{WORK_HEADER}: {call.work}",
        "Content-Length: 2",
    ]
    return "\r\n".join(lines).encode() + END_OF_HEAD


def _answer(
    call: Call, request_id: str, sent: float, data: bytes, connected: bool
) -> Answer:
    status = int(data.split()[1]) if _is_complete(data) else 0
    if status == OK:
        end = End.WHOLE
    elif status == UNAVAILABLE:
        end = End.REFUSED
    elif status:
        end = End.FAILED
    else:
        end = End.CUT if connected else End.NOT_TAKEN
    head = data.partition(END_OF_HEAD)[0].lower()
    closes = b"connection: close" in head
    return Answer(call, request_id, sent, time.monotonic(), status, end, closes)


def _sleep_until(at: float) -> None:
    time.sleep(max(0.0, at - time.monotonic()))


class Found(NamedTuple):
    """What callers and the engine saw of a stop.

    lost are answers that a stop owes and that didn't come, untrue refusals of requests
    that ran.
    """

    answers: list[Answer]
    lost: list[str]
    untrue: list[str]
    exit_code: int | None
    seconds: float

    def counts(self) -> Counter[End]:
        """Return how many requests had each end."""
        return Counter(answer.end for answer in self.answers)


def play(fleet: StopFleet, calls: Sequence[Call], lead: float) -> Found:
    """Stop one host lead seconds from now, with calls around the signal."""
    fleet.until_served()
    began = time.monotonic() + lead
    answers: list[Answer] = []

    def run(call: Call) -> None:
        answers.append(ask(call, began))

    threads = [threading.Thread(target=run, args=(call,)) for call in calls]
    for thread in threads:
        thread.start()
    _sleep_until(began)
    process, stopped = fleet.stop_one()
    while process.exit_code() is None and time.monotonic() < stopped + GRACE_SECONDS:
        time.sleep(POLL_SECONDS)
    code, seconds = process.exit_code(), time.monotonic() - stopped
    process.kill()
    for thread in threads:
        thread.join()
    runs = fleet.engine_of_fleet.runs_by_request
    lost = [found for answer in answers if (found := _loss(answer, runs, stopped))]
    untrue = [
        answer.request_id
        for answer in answers
        if answer.end is End.REFUSED and answer.request_id in runs
    ]
    return Found(answers, lost, untrue, code, seconds)


def _loss(answer: Answer, runs: dict[str, list[Run]], stopped: float) -> str:
    """Return what a caller at the stopping host lost, empty if nothing."""
    call = answer.call
    if call.ip != STOPPING_IP or answer.end is not End.CUT:
        return ""
    found = runs.get(answer.request_id, [])
    if answer.sent == float("inf"):
        return ""
    late = answer.ended - answer.sent > SLACK_SECONDS
    if not found and not late:
        return ""
    sent, ended = answer.sent - stopped, answer.ended - stopped
    if any(run.ended - stopped >= LAST_SIXTH for run in found) and sent <= SEND_SECONDS:
        return ""
    state = "passed on" if found else "not passed on"
    return f"{call.kind} {call.work:g} s, sent {sent:.2f}, ended {ended:.2f}, {state}"


def describe(found: Found) -> dict[str, Any]:
    """Return the counts of a play, for its report."""
    return {
        "ends": {end.value: count for end, count in found.counts().items()},
        "lost": found.lost,
        "untrue": found.untrue,
        "exit": found.exit_code,
        "seconds": round(found.seconds, 2),
    }
